import type { Random } from '@vanillarelay/core';

interface GrowingTimeOptions {
  minMs: number;
  maxMs: number;
  /** Spreads the times by up to half below and above; absent for times that are not spread. */
  random?: Random;
}

/** Creates a time that doubles with each use, so that what fails is repeated soon at first. */
export function createGrowingTime({ minMs, maxMs, random }: GrowingTimeOptions) {
  let ms = minMs;
  return {
    /** Returns the time for this use. */
    take: (): number => {
      const taken = ms;
      ms = Math.min(maxMs, ms * 2);
      return taken * (random ? 0.5 + random() : 1);
    },
    reset: (): void => {
      ms = minMs;
    },
  };
}
