/** A string that identifies one kind of object; ids of different kinds can't be mixed up. */
export type Id<Kind extends string> = string & { readonly __kind: Kind };
