import type { Clock, EndpointId } from '@vanillarelay/core';
import type { OutcomeCounts } from './outcome-counts.js';

interface Health {
  successes: number;
  failures: number;
  /** Monotonic time of the last outcome; the counts are decayed to this time. */
  at: number;
  /** Failures to reach the endpoint since the last success. */
  consecutiveUnreachable: number;
  /** Monotonic time until which the endpoint counts as unreachable. */
  avoidedUntil: number;
  /** Monotonic time at which it last refused a connection. */
  refusedAt: number;
}

/** Time in which the weight of an outcome halves. */
const halfLifeMs = 2_000;
/** Time before an unreachable endpoint is used again; doubled with each further failure. */
const initialBackoffMs = 500;
const maxBackoffMs = 4_000;
/** A failure to reach an endpoint counts as this many failed requests. */
const unreachableWeight = 2;
/** An endpoint is failing when its share of failures exceeds that of the service by this much. */
const failingShareMargin = 0.2;
/** Decayed count of failures below which an endpoint never counts as failing. */
const minFailures = 1.5;
/** Decayed count of outcomes below which an endpoint is not reported to the other processes. */
const minReportedCount = 0.05;

/** Creates the record of request outcomes at each endpoint, as seen by all processes. */
export function createHealthTracker(clock: Pick<Clock, 'monotonic'>) {
  const byEndpoint = new Map<EndpointId, Health>();
  let remote: OutcomeCounts = {};

  const readHealth = (id: EndpointId): Health => {
    const known = byEndpoint.get(id);
    const at = clock.monotonic();
    if (!known)
      return {
        ...{ successes: 0, failures: 0, at, consecutiveUnreachable: 0 },
        ...{ avoidedUntil: 0, refusedAt: -Infinity },
      };
    const weight = 0.5 ** ((at - known.at) / halfLifeMs);
    return { ...known, successes: known.successes * weight, failures: known.failures * weight, at };
  };

  const readCounts = (id: EndpointId): { successes: number; failures: number } => {
    const local = readHealth(id);
    const [successes, failures] = remote[id] ?? [0, 0];
    return { successes: local.successes + successes, failures: local.failures + failures };
  };

  /** Share of requests that failed; 0 without failures. */
  const toShare = ({ successes, failures }: { successes: number; failures: number }): number =>
    failures === 0 ? 0 : failures / (successes + failures);

  const recordUnreachable = (id: EndpointId): void => {
    const health = readHealth(id);
    const consecutiveUnreachable = health.consecutiveUnreachable + 1;
    const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * 2 ** (consecutiveUnreachable - 1));
    const avoidedUntil = clock.monotonic() + backoffMs;
    const failures = health.failures + unreachableWeight;
    byEndpoint.set(id, { ...health, failures, consecutiveUnreachable, avoidedUntil });
  };

  return {
    recordSuccess: (id: EndpointId): void => {
      const health = readHealth(id);
      byEndpoint.set(id, { ...health, successes: health.successes + 1, consecutiveUnreachable: 0 });
    },
    recordFailure: (id: EndpointId): void => {
      const health = readHealth(id);
      byEndpoint.set(id, { ...health, failures: health.failures + 1 });
    },
    /** Records that the endpoint did not answer in time. */
    recordUnreachable,
    /** Records that the endpoint refused the connection. */
    recordRefusal: (id: EndpointId): void => {
      recordUnreachable(id);
      byEndpoint.set(id, { ...readHealth(id), refusedAt: clock.monotonic() });
    },
    /** Whether the endpoint, which started at `since`, last refused connections. */
    isRefusing: (id: EndpointId, since: number): boolean => {
      const { refusedAt = -Infinity, avoidedUntil = 0 } = byEndpoint.get(id) ?? {};
      return refusedAt > since && avoidedUntil > clock.monotonic();
    },
    isAvoided: (id: EndpointId): boolean =>
      (byEndpoint.get(id)?.avoidedUntil ?? 0) > clock.monotonic(),
    /** Endpoints with a clearly higher failure share than the service as a whole. */
    listFailing: (ids: readonly EndpointId[]): ReadonlySet<EndpointId> => {
      const counts = ids.map((id) => ({ id, ...readCounts(id) }));
      const successes = counts.reduce((sum, count) => sum + count.successes, 0);
      const failures = counts.reduce((sum, count) => sum + count.failures, 0);
      const limit = failingShareMargin + toShare({ successes, failures });
      return new Set(
        counts
          .filter((count) => count.failures >= minFailures && toShare(count) > limit)
          .map(({ id }) => id),
      );
    },
    /** Counts of this process, to be sent to the others. */
    readLocal: (): OutcomeCounts => {
      const reported: OutcomeCounts = {};
      byEndpoint.forEach((_, id) => {
        const { successes, failures, avoidedUntil, at } = readHealth(id);
        if (successes + failures >= minReportedCount)
          reported[id] = [toTenths(successes), toTenths(failures)];
        else if (avoidedUntil < at) byEndpoint.delete(id);
      });
      return reported;
    },
    /** Replaces the counts of the other processes. */
    updateRemote: (counts: OutcomeCounts): void => {
      remote = counts;
    },
  };
}

function toTenths(count: number): number {
  return Math.round(count * 10) / 10;
}
