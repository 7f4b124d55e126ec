import type { Random } from '@vanillarelay/core';

/** Creates a pseudorandom source from a seed (mulberry32): the same sequence on every machine. */
export function createSeededRandom(seed: number): Random {
  /* eslint-disable no-bitwise -- the generator is defined by bit operations */
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
  /* eslint-enable no-bitwise */
}
