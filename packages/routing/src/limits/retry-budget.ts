import type { createRetryBudget } from './create-retry-budget.js';

/** Budget for sending a request to one more endpoint. */
export type RetryBudget = ReturnType<typeof createRetryBudget>;
