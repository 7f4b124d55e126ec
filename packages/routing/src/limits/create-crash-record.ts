import type { Clock, Fingerprint } from '@vanillarelay/core';
import type { CrashCounts } from './crash-counts.js';

interface Crashes {
  count: number;
  /** Monotonic time of the last one. */
  at: number;
}

/** A request is refused after it was lost with this many endpoints. */
const convictedCount = 3;
/** One loss says little: endpoints crash for other reasons, and take all their requests along. */
const singleKeptMs = 30_000;
/** Callers send a request that crashes endpoints again for as long as they want its answer. */
const keptMs = 600_000;
const maxTold = 50;

/**
 * Makes the record of requests whose endpoint broke off while it ran them, here and at the other
 * processes. Callers may send such a request again anywhere, and each try costs an endpoint.
 */
export function createCrashRecord(clock: Pick<Clock, 'monotonic'>) {
  const own = new Map<Fingerprint, Crashes>();
  let others: CrashCounts = {};

  const removeOld = (): void => {
    const now = clock.monotonic();
    own.forEach(({ count, at }, fingerprint) => {
      if (now - at > (count > 1 ? keptMs : singleKeptMs)) own.delete(fingerprint);
    });
  };

  return {
    /** Whether any request is on record; without one, requests need no fingerprint. */
    isEmpty: (): boolean => own.size === 0 && Object.keys(others).length === 0,
    isConvicted: (fingerprint: Fingerprint): boolean =>
      (own.get(fingerprint)?.count ?? 0) + (others[fingerprint] ?? 0) >= convictedCount,
    recordCrash: (fingerprint: Fingerprint): void => {
      const count = (own.get(fingerprint)?.count ?? 0) + 1;
      own.set(fingerprint, { count, at: clock.monotonic() });
    },
    /** A request that was answered did not cause the crash. */
    clear: (fingerprint: Fingerprint): void => {
      own.delete(fingerprint);
    },
    /** What this process saw, for the others; the most suspect first. */
    readOwn: (): CrashCounts => {
      removeOld();
      const told = [...own].sort(([, a], [, b]) => b.count - a.count).slice(0, maxTold);
      return Object.fromEntries(told.map(([fingerprint, { count }]) => [fingerprint, count]));
    },
    /** Replaces what the other processes saw. */
    updateOthers: (counts: CrashCounts): void => {
      others = counts;
    },
  };
}
