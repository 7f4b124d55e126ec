import type { createRateLimiter } from './create-rate-limiter.js';

/** Rate limiter for endpoints that name a limit. */
export type RateLimiter = ReturnType<typeof createRateLimiter>;
