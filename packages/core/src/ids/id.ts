/** A string that names one kind of thing; ids of different kinds do not mix. */
export type Id<Kind extends string> = string & { readonly __kind: Kind };
