import type { Clock, ServiceId } from '@vanillarelay/core';
import { createSlidingCount } from './create-sliding-count.js';

interface RetryBudgetOptions {
  clock: Pick<Clock, 'monotonic'>;
  /** Retries allowed per request within the window. */
  ratio: number;
  windowMs: number;
  /** Additional retries allowed per window, for all routers together. */
  extra: number;
  /** Returns the number of routers that share `extra`. */
  countRouters: () => number;
}

/** Share of the allowed retries that is used, because router counts may be outdated. */
const usableShare = 0.8;

/** Creates the budget of each service for retrying requests at another endpoint. */
export function createRetryBudget(options: RetryBudgetOptions) {
  const { clock, ratio, windowMs, extra, countRouters } = options;
  const services = new Map<ServiceId, ReturnType<typeof createCounts>>();
  const createCounts = () => ({
    requests: createSlidingCount(clock, windowMs),
    retries: createSlidingCount(clock, windowMs),
  });
  const findCounts = (service: ServiceId) => {
    const known = services.get(service) ?? createCounts();
    services.set(service, known);
    return known;
  };
  const readRemaining = (service: ServiceId): number => {
    const { requests, retries } = findCounts(service);
    const allowed = ratio * requests.read() + extra / Math.max(1, countRouters());
    return Math.floor(allowed * usableShare) - retries.read();
  };
  return {
    recordRequest: (service: ServiceId): void => findCounts(service).requests.add(),
    /** Removes one retry from the budget; returns false when none remains. */
    spend: (service: ServiceId): boolean => {
      if (readRemaining(service) < 1) return false;
      findCounts(service).retries.add();
      return true;
    },
    readRemaining,
  };
}
