/** Returns a random number in [0, 1). */
export type Random = () => number;
