import type { Clock, EndpointId } from '@vanillarelay/core';
import type { OutcomeCounts } from './outcome-counts.js';

interface Health {
  good: number;
  bad: number;
  /** Monotonic time of the last outcome, to which the counts have been aged. */
  at: number;
  /** Failures to reach the endpoint without a success between them. */
  unreachableInRow: number;
  /** Monotonic time until which the endpoint is only used when no other is left. */
  avoidedUntil: number;
}

/** Counts lose half of their weight in this time. */
const halfLifeMs = 2_000;
/** An endpoint that cannot be reached is tried again after this, doubled with each failure. */
const firstPauseMs = 500;
const maxPauseMs = 4_000;
/** An unreachable endpoint weighs as much as this many failed requests. */
const unreachableWeight = 2;
/** An endpoint fails when this share of its requests does, above the mean of the service. */
const failingShare = 0.2;
const minBad = 1.5;
/** Counts below this are not told to other processes. */
const minTold = 0.05;

/** Makes the record of how requests fared at each endpoint, here and at the other processes. */
export function createHealthTracker(clock: Pick<Clock, 'monotonic'>) {
  const byEndpoint = new Map<EndpointId, Health>();
  let others: OutcomeCounts = {};

  const readHealth = (id: EndpointId): Health => {
    const known = byEndpoint.get(id);
    const at = clock.monotonic();
    if (!known) return { good: 0, bad: 0, at, unreachableInRow: 0, avoidedUntil: 0 };
    const weight = 0.5 ** ((at - known.at) / halfLifeMs);
    return { ...known, good: known.good * weight, bad: known.bad * weight, at };
  };

  const readCounts = (id: EndpointId): { good: number; bad: number } => {
    const own = readHealth(id);
    const [good, bad] = others[id] ?? [0, 0];
    return { good: own.good + good, bad: own.bad + bad };
  };

  const computeShare = ({ good, bad }: { good: number; bad: number }): number =>
    bad === 0 ? 0 : bad / (good + bad);

  return {
    recordSuccess: (id: EndpointId): void => {
      const health = readHealth(id);
      byEndpoint.set(id, { ...health, good: health.good + 1, unreachableInRow: 0 });
    },
    recordFailure: (id: EndpointId): void => {
      const health = readHealth(id);
      byEndpoint.set(id, { ...health, bad: health.bad + 1 });
    },
    /** The endpoint did not take the connection, or fell silent. */
    recordUnreachable: (id: EndpointId): void => {
      const health = readHealth(id);
      const unreachableInRow = health.unreachableInRow + 1;
      const pauseMs = Math.min(maxPauseMs, firstPauseMs * 2 ** (unreachableInRow - 1));
      const avoidedUntil = clock.monotonic() + pauseMs;
      const bad = health.bad + unreachableWeight;
      byEndpoint.set(id, { ...health, bad, unreachableInRow, avoidedUntil });
    },
    isAvoided: (id: EndpointId): boolean =>
      (byEndpoint.get(id)?.avoidedUntil ?? 0) > clock.monotonic(),
    /** Endpoints of a service of which clearly more requests fail than of the service as a whole. */
    listFailing: (ids: readonly EndpointId[]): ReadonlySet<EndpointId> => {
      const counts = ids.map((id) => ({ id, ...readCounts(id) }));
      const good = counts.reduce((sum, one) => sum + one.good, 0);
      const bad = counts.reduce((sum, one) => sum + one.bad, 0);
      const limit = failingShare + computeShare({ good, bad });
      return new Set(
        counts.filter((one) => one.bad >= minBad && computeShare(one) > limit).map(({ id }) => id),
      );
    },
    /** What this process saw, for the others. */
    readOwn: (): OutcomeCounts => {
      const told: OutcomeCounts = {};
      byEndpoint.forEach((_, id) => {
        const { good, bad, avoidedUntil, at } = readHealth(id);
        if (good + bad >= minTold) told[id] = [toTenths(good), toTenths(bad)];
        else if (avoidedUntil < at) byEndpoint.delete(id);
      });
      return told;
    },
    /** Replaces what the other processes saw. */
    updateOthers: (counts: OutcomeCounts): void => {
      others = counts;
    },
  };
}

function toTenths(count: number): number {
  return Math.round(count * 10) / 10;
}
