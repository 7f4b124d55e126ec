import type { Clock } from '@vanillarelay/core';

/** How a fake weight store behaves. */
export interface FakeWeightStoreOptions {
  clock: Clock;
  instance: string;
  /** Bytes a second over all loads together. */
  bytesPerSecond?: number;
  /** Size of the weights of each target. */
  weightBytes?: number;
  /** Loads at once; further ones are refused with 429. */
  maxLoads?: number;
}
