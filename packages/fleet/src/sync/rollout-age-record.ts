import type { createRolloutAges } from './create-rollout-ages.js';

/** A daemon's record of the ages of roll-outs, as `createRolloutAges` returns it. */
export type RolloutAgeRecord = ReturnType<typeof createRolloutAges>;
