import type { Clock } from '@vanillarelay/core';

/** Settings of a fake weight store. */
export interface FakeWeightStoreOptions {
  clock: Clock;
  instance: string;
  /** Bandwidth in bytes per second, shared by all loads. */
  bytesPerSecond?: number;
  /** Size of the weights of each target, in bytes. */
  weightBytes?: number;
  /** Maximum number of concurrent loads; further ones are refused with 429. */
  maxLoads?: number;
}
