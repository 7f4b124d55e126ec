import type { createFairRounds } from './create-fair-rounds.js';

/** The order in which accounts with waiting requests are served. */
export type FairRounds = ReturnType<typeof createFairRounds>;
