import type { createColdPacer } from './create-cold-pacer.js';

/** Rate limiter for requests to cold endpoints. */
export type ColdPacer = ReturnType<typeof createColdPacer>;
