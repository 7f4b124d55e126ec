import type { Clock, EndpointId } from '@vanillarelay/core';

interface Health {
  /** Smoothed share of failed requests, 0 to 1. */
  failureShare: number;
  /** Failures without a success between them. */
  failuresInRow: number;
  /** Monotonic time until which the endpoint is only used when no other is left. */
  avoidedUntil: number;
  /** Monotonic time of the last outcome. */
  at: number;
}

const smoothing = 0.2;
const halfLifeMs = 3_000;
/** An endpoint that cannot be reached is tried again after this, doubled with each failure. */
const firstPauseMs = 500;
const maxPauseMs = 4_000;
const failedShare = 0.25;

/** Makes the record of how requests fared at each endpoint, as this process saw it. */
export function createHealthTracker(clock: Pick<Clock, 'monotonic'>) {
  const byEndpoint = new Map<EndpointId, Health>();

  const readHealth = (id: EndpointId): Health => {
    const known = byEndpoint.get(id);
    const at = clock.monotonic();
    if (!known) return { failureShare: 0, failuresInRow: 0, avoidedUntil: 0, at };
    const decay = 0.5 ** ((at - known.at) / halfLifeMs);
    return { ...known, failureShare: known.failureShare * decay, at };
  };

  return {
    recordSuccess: (id: EndpointId): void => {
      const health = readHealth(id);
      const failureShare = health.failureShare * (1 - smoothing);
      byEndpoint.set(id, { ...health, failureShare, failuresInRow: 0 });
    },
    recordFailure: (id: EndpointId): void => {
      const health = readHealth(id);
      const failureShare = health.failureShare * (1 - smoothing) + smoothing;
      byEndpoint.set(id, {
        ...health,
        failureShare,
        failuresInRow: health.failuresInRow + 1,
      });
    },
    /** The endpoint did not take the connection, or fell silent. */
    recordUnreachable: (id: EndpointId): void => {
      const health = readHealth(id);
      const failuresInRow = health.failuresInRow + 1;
      const pauseMs = Math.min(maxPauseMs, firstPauseMs * 2 ** (failuresInRow - 1));
      const avoidedUntil = clock.monotonic() + pauseMs;
      const failureShare = health.failureShare * (1 - smoothing) + smoothing;
      byEndpoint.set(id, { ...health, failureShare, failuresInRow, avoidedUntil });
    },
    isAvoided: (id: EndpointId): boolean => readHealth(id).avoidedUntil > clock.monotonic(),
    /** Whether more of its requests fail than an endpoint in order shows. */
    isFailing: (id: EndpointId): boolean => readHealth(id).failureShare > failedShare,
    remove: (id: EndpointId): void => {
      byEndpoint.delete(id);
    },
  };
}
