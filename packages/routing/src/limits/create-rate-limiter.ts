import {
  sortByRendezvous,
  type Clock,
  type DaemonId,
  type EndpointId,
  type Hash,
  type ServiceId,
} from '@vanillarelay/core';
import { createNamedLimits } from './create-named-limits.js';
import { createSlidingCount } from './create-sliding-count.js';
import { createTokenBuckets } from './create-token-buckets.js';
import type { RateReports } from './rate-reports.js';

interface RateLimiterOptions {
  clock: Pick<Clock, 'monotonic'>;
  hash: Hash;
  self: DaemonId;
  /** Routers that may send requests, including this one. */
  listRouters: () => readonly DaemonId[];
  findService: (id: EndpointId) => ServiceId | undefined;
  /** Called when the limit of an endpoint changes; undefined when it names none any more. */
  notify: (id: EndpointId, perS: number | undefined) => void;
}

interface Allowance {
  /** The limit from which it was computed. */
  limitPerS: number;
  /** Monotonic time at which it was computed. */
  at: number;
  /** Requests per second for the endpoint's service at all routers that send. */
  demandPerS: number;
  /** This router's part of the limit. */
  ratePerS: number;
  /** Capacity of this router's token bucket. */
  capacity: number;
}

/** Requests that all routers together may send at once: this many seconds of the rate, and a few. */
const burstPeriodS = 1.75;
const minBurst = 4;
/** Time over which the requests for a service are counted. */
const demandWindowMs = 4_000;
/** Weight of the newest report of the others' demand; one report may lack some of the routers. */
const demandWeight = 0.3;
/** Time after a limit became known in which the others' demand may be unknown. */
const learningMs = 2_000;
/** How long a computed share is used; computing it sorts all routers. */
const shareTtlMs = 100;
/** Share of the limit that is filled with prompts; the rest covers uneven arrivals. */
const usableShare = 0.85;
const msPerS = 1_000;

/**
 * Creates the rate limiter for endpoints that name in their answers how many requests they accept
 * from all routers together. Each router takes a share of the rate in proportion to the requests
 * that it receives for the endpoint's service, so that the rate is used wherever callers come in. At
 * low rates only some of the routers send, because the full buckets of all would exceed the limit.
 */
export function createRateLimiter(options: RateLimiterOptions) {
  const { clock, hash, self, listRouters, findService, notify } = options;
  const limits = createNamedLimits({ clock, notify });
  const buckets = createTokenBuckets(clock);
  const demands = new Map<ServiceId, ReturnType<typeof createSlidingCount>>();
  const remoteDemands = new Map<EndpointId, number>();
  const learnedAt = new Map<EndpointId, number>();
  const allowances = new Map<EndpointId, Allowance>();

  const readDemand = (id: EndpointId): number => {
    const service = findService(id);
    const count = service === undefined ? undefined : demands.get(service);
    return (count?.read() ?? 0) / (demandWindowMs / msPerS);
  };

  const computeBurst = (limitPerS: number): number => limitPerS * burstPeriodS + minBurst;

  const listSenders = (id: EndpointId, limitPerS: number): readonly DaemonId[] => {
    const routers = listRouters();
    const maxSenders = Math.floor(computeBurst(limitPerS));
    if (routers.length <= maxSenders) return routers;
    return sortByRendezvous(hash, id, routers).slice(0, maxSenders);
  };

  /** Requests per second for the endpoint's service at the other routers. */
  const readOtherDemand = (id: EndpointId, senders: readonly DaemonId[]): number => {
    const isLearning = clock.monotonic() - (learnedAt.get(id) ?? 0) < learningMs;
    const assumed = isLearning ? readDemand(id) * (senders.length - 1) : 0;
    return Math.max(assumed, remoteDemands.get(id) ?? 0);
  };

  const updateLearned = (id: EndpointId): void => {
    if (limits.find(id) === undefined) learnedAt.delete(id);
    else if (!learnedAt.has(id)) learnedAt.set(id, clock.monotonic());
  };

  /** This router's part of the limit, computed at most once per `shareTtlMs`. */
  const readAllowance = (id: EndpointId, limitPerS: number): Allowance => {
    const known = allowances.get(id);
    const at = clock.monotonic();
    if (known?.limitPerS === limitPerS && at - known.at < shareTtlMs) return known;
    const senders = listSenders(id, limitPerS);
    const own = senders.includes(self) ? readDemand(id) : 0;
    const demandPerS = own + readOtherDemand(id, senders);
    const share = own === 0 ? 0 : own / demandPerS;
    const ratePerS = limitPerS * share;
    const spareBurst = Math.max(0, computeBurst(limitPerS) - senders.length);
    const capacity = 1 + share * spareBurst;
    const allowance = { limitPerS, at, demandPerS, ratePerS, capacity };
    allowances.set(id, allowance);
    return allowance;
  };

  /** Time until this router may send a request to the endpoint, in milliseconds. */
  const computeWaitMs = (id: EndpointId): number => {
    const limitPerS = limits.find(id);
    if (limitPerS === undefined) {
      buckets.remove(id);
      return 0;
    }
    const { ratePerS, capacity } = readAllowance(id, limitPerS);
    const tokens = buckets.update(id, { ratePerS, capacity, initialTokens: 0 });
    if (ratePerS === 0) return Infinity;
    return Math.max(0, ((1 - tokens) / ratePerS) * msPerS);
  };

  return {
    /** Records an answer of the endpoint, with the requests per second that it names, if any. */
    recordAnswer: (id: EndpointId, limitPerS: number | undefined): void => {
      limits.record(id, limitPerS);
      updateLearned(id);
    },
    /** Records a request that a caller sent for a service. */
    recordDemand: (service: ServiceId): void => {
      const count = demands.get(service) ?? createSlidingCount(clock, demandWindowMs);
      demands.set(service, count);
      count.add();
    },
    computeWaitMs,
    /**
     * Share of the prompts at home at an endpoint that it can accept within its limit, when the
     * service has the given number of endpoints.
     */
    computePromptShare: (id: EndpointId, endpointCount: number): number => {
      const limitPerS = limits.find(id);
      if (limitPerS === undefined) return 1;
      const { demandPerS } = readAllowance(id, limitPerS);
      return (limitPerS * usableShare * endpointCount) / Math.max(demandPerS, limitPerS);
    },
    hasCapacity: (id: EndpointId): boolean => computeWaitMs(id) === 0,
    /** Removes a token for a request that is sent. */
    record: (id: EndpointId): void => buckets.take(id),
    countLimited: (): number => limits.list().filter(({ perS }) => perS !== undefined).length,
    /** What this router knows, for the others. */
    readLocal: (): RateReports => {
      const reports: RateReports = {};
      limits.list().forEach(({ id, perS, at }) => {
        const isSender = perS !== undefined && listSenders(id, perS).includes(self);
        reports[id] = {
          ...(perS === undefined ? {} : { limitPerS: perS }),
          ageMs: Math.round(clock.monotonic() - at),
          demandPerS: isSender ? readDemand(id) : 0,
        };
      });
      return reports;
    },
    /** Merges what the other routers know. */
    updateRemote: (reports: RateReports): void => {
      limits.merge(reports);
      Object.keys(reports).forEach((key) => updateLearned(key as EndpointId));
      limits.list().forEach(({ id }) => {
        const newest = reports[id]?.demandPerS ?? 0;
        const known = remoteDemands.get(id) ?? newest;
        remoteDemands.set(id, known + (newest - known) * demandWeight);
      });
    },
  };
}
