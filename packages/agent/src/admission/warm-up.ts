import type { createWarmUp } from './create-warm-up.js';

/** The concurrency limit of a cold endpoint. */
export type WarmUp = ReturnType<typeof createWarmUp>;
