/** Time of a hybrid logical clock, as `milliseconds.counter` in text that sorts in time order. */
export type HlcTime = string & { readonly __kind: 'HlcTime' };
