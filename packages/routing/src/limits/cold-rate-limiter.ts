import type { createColdRateLimiter } from './create-cold-rate-limiter.js';

/** Rate limiter for requests to cold endpoints. */
export type ColdRateLimiter = ReturnType<typeof createColdRateLimiter>;
