import type { createColdPacer } from './create-cold-pacer.js';

/** Limit on requests to cold endpoints. */
export type ColdPacer = ReturnType<typeof createColdPacer>;
