import type { Clock, Fingerprint } from '@vanillarelay/core';
import type { CrashCounts } from './crash-counts.js';

interface Crashes {
  count: number;
  /** Monotonic time of the last crash. */
  at: number;
}

/** A request is refused after this many endpoints broke off while they ran it. */
const convictionThreshold = 3;
/**
 * A single crash is weak evidence: endpoints also crash for other reasons, and all requests that
 * they were running are then counted.
 */
const singleCrashRetentionMs = 30_000;
/** Long, because callers may keep retrying a request that crashes endpoints. */
const retentionMs = 600_000;
const maxReported = 50;

/**
 * Creates the record of requests whose endpoint broke off while it ran them, in this process and in
 * the others. The counts are shared because callers may retry such a request at any router, and
 * each attempt may crash another endpoint.
 */
export function createCrashRecord(clock: Pick<Clock, 'monotonic'>) {
  const own = new Map<Fingerprint, Crashes>();
  let others: CrashCounts = {};

  const removeExpired = (): void => {
    const now = clock.monotonic();
    own.forEach(({ count, at }, fingerprint) => {
      if (now - at > (count > 1 ? retentionMs : singleCrashRetentionMs)) own.delete(fingerprint);
    });
  };

  return {
    /** Whether no request is recorded; then requests need no fingerprint. */
    isEmpty: (): boolean => own.size === 0 && Object.keys(others).length === 0,
    isConvicted: (fingerprint: Fingerprint): boolean =>
      (own.get(fingerprint)?.count ?? 0) + (others[fingerprint] ?? 0) >= convictionThreshold,
    recordCrash: (fingerprint: Fingerprint): void => {
      const count = (own.get(fingerprint)?.count ?? 0) + 1;
      own.set(fingerprint, { count, at: clock.monotonic() });
    },
    /** Clears a request that was answered, because it did not cause the crash. */
    clear: (fingerprint: Fingerprint): void => {
      own.delete(fingerprint);
    },
    /** Counts of this process, for the others; the requests with the most crashes first. */
    readOwn: (): CrashCounts => {
      removeExpired();
      const reported = [...own].sort(([, a], [, b]) => b.count - a.count).slice(0, maxReported);
      return Object.fromEntries(reported.map(([fingerprint, { count }]) => [fingerprint, count]));
    },
    /** Replaces the counts of the other processes. */
    updateOthers: (counts: CrashCounts): void => {
      others = counts;
    },
  };
}
