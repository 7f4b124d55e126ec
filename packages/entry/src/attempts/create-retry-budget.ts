import type { Clock } from '@vanillarelay/core';

const retriesPerRequest = 0.1;
const baseRetriesPerSecond = 1;
const maxRetryBalance = 20;
const millisecondsPerSecond = 1_000;

/**
 * Creates the retry budget: 10% of the requests plus one retry a second, so that retries
 * cannot multiply the load.
 */
export function createRetryBudget({ clock }: { clock: Clock }) {
  let retryBalance = maxRetryBalance / 2;
  let refilledAt = clock.monotonic();

  const recordRequest = (): void => {
    retryBalance = Math.min(maxRetryBalance, retryBalance + retriesPerRequest);
  };

  /** Takes one retry from the budget; returns false when none is left. */
  const spend = (): boolean => {
    const now = clock.monotonic();
    const refill = ((now - refilledAt) / millisecondsPerSecond) * baseRetriesPerSecond;
    retryBalance = Math.min(maxRetryBalance, retryBalance + refill);
    refilledAt = now;
    if (retryBalance < 1) return false;
    retryBalance -= 1;
    return true;
  };

  return { recordRequest, spend };
}
