/** Hashes text to an unsigned 32-bit number, equal in every process. */
export type Hash = (text: string) => number;
