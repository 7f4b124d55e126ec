import type { Clock } from '@vanillarelay/core';

const retriesPerRequest = 0.1;
const floorPerSecond = 1;
const highestBalance = 20;
const millisecondsPerSecond = 1_000;

/** Makes the retry budget: 10% of requests and a small floor, so that retries cannot multiply load. */
export function createRetryBudget({ clock }: { clock: Clock }) {
  let balance = highestBalance / 2;
  let filledAt = clock.monotonic();

  const recordRequest = (): void => {
    balance = Math.min(highestBalance, balance + retriesPerRequest);
  };

  /** Whether one more retry is allowed; it is then spent. */
  const spend = (): boolean => {
    const now = clock.monotonic();
    const gained = ((now - filledAt) / millisecondsPerSecond) * floorPerSecond;
    balance = Math.min(highestBalance, balance + gained);
    filledAt = now;
    if (balance < 1) return false;
    balance -= 1;
    return true;
  };

  return { recordRequest, spend };
}
