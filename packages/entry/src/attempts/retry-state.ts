import type { createRetryState } from './create-retry-state.js';

/** The state that the attempts of one request share. */
export type RetryState = ReturnType<typeof createRetryState>;
