import {
  sortByRendezvous,
  type Clock,
  type DaemonId,
  type EndpointId,
  type Hash,
} from '@vanillarelay/core';
import { createTokenBuckets } from './create-token-buckets.js';

interface ColdRateLimiterOptions {
  clock: Pick<Clock, 'monotonic'>;
  hash: Hash;
  self: DaemonId;
  /** Routers that may send requests, including this one. */
  listRouters: () => readonly DaemonId[];
  /** A cold endpoint can handle its rate times the multiplier, plus the slack, in any second. */
  multiplier: number;
  slack: number;
}

/** Share of the capacity that is used; the rest covers an outdated list of routers. */
const usableShare = 0.85;

/**
 * Creates the rate limiter for requests to cold endpoints. Routers enforce the common limit without
 * coordination: each has a token bucket that holds one request and refills at its share of the
 * rate. The number of routers that send is bounded, so that their full buckets and the refill rate
 * together stay below what the endpoint can handle.
 */
export function createColdRateLimiter(options: ColdRateLimiterOptions) {
  const { clock, hash, self, listRouters, multiplier, slack } = options;
  const buckets = createTokenBuckets(clock);

  /** Requests per second that this router may send. */
  const computeRate = (id: EndpointId, ratePerS: number): number => {
    const capacityPerS = (ratePerS * multiplier + slack) * usableShare;
    const routers = listRouters();
    const maxSenders = Math.max(1, Math.floor(capacityPerS / 2));
    const count = Math.min(Math.max(1, routers.length), maxSenders);
    const isSender = routers.length <= maxSenders || isAmongFirst(id, maxSenders, routers);
    return isSender ? Math.max(0, capacityPerS - count) / count : 0;
  };

  const isAmongFirst = (id: EndpointId, count: number, routers: readonly DaemonId[]): boolean =>
    sortByRendezvous(hash, id, routers).slice(0, count).includes(self);

  return {
    hasCapacity: (id: EndpointId, ratePerS: number): boolean => {
      const rate = computeRate(id, ratePerS);
      if (rate === 0) return false;
      return buckets.update(id, { ratePerS: rate, capacity: 1, initialTokens: 1 }) >= 1;
    },
    /** Removes a token from the bucket for a request that is sent. */
    record: (id: EndpointId): void => buckets.take(id),
  };
}
