import type { createDecayedMean } from './create-decayed-mean.js';

/** A mean and spread of values in which older values weigh less. */
export type DecayedMean = ReturnType<typeof createDecayedMean>;
