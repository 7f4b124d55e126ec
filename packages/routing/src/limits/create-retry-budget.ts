import type { Clock, ServiceId } from '@vanillarelay/core';
import { createSlidingCount } from './create-sliding-count.js';

interface RetryBudgetOptions {
  clock: Pick<Clock, 'monotonic'>;
  /** Repeats allowed for each request of the window. */
  ratio: number;
  windowMs: number;
  /** Repeats allowed on top, for all routers together. */
  extra: number;
  /** Routers that share the extra. */
  countRouters: () => number;
}

/** Part of the allowed repeats that is spent, since routers count their peers with a lag. */
const safeShare = 0.8;

/** Makes the budget for sending a request to one more endpoint, for each service. */
export function createRetryBudget(options: RetryBudgetOptions) {
  const { clock, ratio, windowMs, extra, countRouters } = options;
  const services = new Map<ServiceId, ReturnType<typeof createCounts>>();
  const createCounts = () => ({
    requests: createSlidingCount(clock, windowMs),
    repeats: createSlidingCount(clock, windowMs),
  });
  const findCounts = (service: ServiceId) => {
    const known = services.get(service) ?? createCounts();
    services.set(service, known);
    return known;
  };
  const readLeft = (service: ServiceId): number => {
    const { requests, repeats } = findCounts(service);
    const allowed = ratio * requests.read() + extra / Math.max(1, countRouters());
    return Math.floor(allowed * safeShare) - repeats.read();
  };
  return {
    recordRequest: (service: ServiceId): void => findCounts(service).requests.add(),
    /** Takes one repeat from the budget; returns false when it is spent. */
    spend: (service: ServiceId): boolean => {
      if (readLeft(service) < 1) return false;
      findCounts(service).repeats.add();
      return true;
    },
    readLeft,
  };
}
