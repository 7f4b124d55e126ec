import type { Clock, Fingerprint } from '@vanillarelay/core';
import type { CrashCounts } from './crash-counts.js';

interface Crashes {
  count: number;
  /** Monotonic time of the last crash. */
  at: number;
}

/** Number of possible crashes, over all processes, after which a request is refused. */
const crashThreshold = 3;
/**
 * How long a single crash is kept. It is weak evidence: endpoints also crash for other reasons, and
 * all requests that they were running are then counted.
 */
const singleCrashRetentionMs = 30_000;
/**
 * How long repeated crashes are kept; callers may keep retrying a request that crashes endpoints.
 */
const retentionMs = 600_000;
/** Maximum number of requests whose counts are sent to the other processes. */
const maxReportedRequests = 50;

/**
 * Creates the record of requests that may have crashed their endpoints, as counted by this process
 * and the others. The counts are shared because callers may retry such a request at any router, and
 * each attempt may crash another endpoint.
 */
export function createCrashRecord(clock: Pick<Clock, 'monotonic'>) {
  const local = new Map<Fingerprint, Crashes>();
  let remote: CrashCounts = {};

  const removeExpired = (): void => {
    const now = clock.monotonic();
    local.forEach(({ count, at }, fingerprint) => {
      if (now - at > (count > 1 ? retentionMs : singleCrashRetentionMs)) local.delete(fingerprint);
    });
  };

  return {
    /** Whether no request is recorded; then requests need no fingerprint. */
    isEmpty: (): boolean => local.size === 0 && Object.keys(remote).length === 0,
    isKnownToCrash: (fingerprint: Fingerprint): boolean =>
      (local.get(fingerprint)?.count ?? 0) + (remote[fingerprint] ?? 0) >= crashThreshold,
    recordCrash: (fingerprint: Fingerprint): void => {
      const count = (local.get(fingerprint)?.count ?? 0) + 1;
      local.set(fingerprint, { count, at: clock.monotonic() });
    },
    /** Clears a request that was answered, because it did not cause the crash. */
    clear: (fingerprint: Fingerprint): void => {
      local.delete(fingerprint);
    },
    /**
     * Counts of this process, to be sent to the others; only the requests with the most crashes.
     */
    readLocal: (): CrashCounts => {
      removeExpired();
      const reported = [...local]
        .sort(([, a], [, b]) => b.count - a.count)
        .slice(0, maxReportedRequests);
      return Object.fromEntries(reported.map(([fingerprint, { count }]) => [fingerprint, count]));
    },
    /** Replaces the counts of the other processes. */
    updateRemote: (counts: CrashCounts): void => {
      remote = counts;
    },
  };
}
