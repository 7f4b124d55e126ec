import type { Random } from '@vanillarelay/core';

const firstBackoffMs = 50;
const longestBackoffMs = 2_000;

/** Time until the next round of attempts: exponential with jitter, not before `retryAfterMs`. */
export function computeBackoff(round: number, random: Random, retryAfterMs = 0): number {
  const exponential = Math.min(longestBackoffMs, firstBackoffMs * 2 ** round);
  const asked = Math.min(longestBackoffMs, retryAfterMs);
  return Math.max(exponential, asked) * (0.5 + random() / 2);
}
