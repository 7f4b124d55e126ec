/** Hashes text to an unsigned 32-bit number that is the same in every process. */
export type Hash = (text: string) => number;
