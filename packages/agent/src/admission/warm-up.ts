import type { createWarmUp } from './create-warm-up.js';

/** Limits the concurrency of a cold endpoint. */
export type WarmUp = ReturnType<typeof createWarmUp>;
