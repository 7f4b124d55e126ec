import type { TrafficFigures } from './traffic-figures.js';

/** Part of the exposure that is planned, as routers cannot use every fraction of their quotas. */
const plannedPart = 0.85;

/** Computes the requests that the plan may send to the new version in all. */
export function computeExposure(figures: TrafficFigures): number {
  const { exposeShare, requestsPerMs, planMs } = figures;
  return plannedPart * exposeShare * requestsPerMs * planMs;
}
