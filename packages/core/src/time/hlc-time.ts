/** Time of a hybrid logical clock as text that sorts in time order: milliseconds, dot, counter. */
export type HlcTime = string & { readonly __kind: 'HlcTime' };
