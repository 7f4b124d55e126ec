import type { Random } from '@vanillarelay/core';

const initialBackoffMs = 50;
const maxBackoffMs = 2_000;

/**
 * Milliseconds until the next round of attempts: exponential backoff, or `retryAfterMs` where that
 * is longer, with jitter that shortens the result by up to half.
 */
export function computeBackoff(round: number, random: Random, retryAfterMs = 0): number {
  const exponentialMs = Math.min(maxBackoffMs, initialBackoffMs * 2 ** round);
  const requestedMs = Math.min(maxBackoffMs, retryAfterMs);
  return Math.max(exponentialMs, requestedMs) * (0.5 + random() / 2);
}
