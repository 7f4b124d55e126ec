import type { createRetryBudget } from './create-retry-budget.js';

/** Budget for retrying requests at another endpoint. */
export type RetryBudget = ReturnType<typeof createRetryBudget>;
