import type { Route } from '@vanillarelay/routing';
import type { LatenessLimits } from './lateness-limits.js';

/** Shares of the smallest objective of all routes. */
const lateShare = 1;
const inTimeShare = 0.5;
const severeShare = 2;

/** Computes from what delay on a router is late; undefined without routes. */
export function computeLatenessLimits(
  routes: readonly Pick<Route, 'objectiveMs'>[],
): LatenessLimits | undefined {
  if (routes.length === 0) return undefined;
  const objectiveMs = Math.min(...routes.map((route) => route.objectiveMs));
  return {
    lateMs: objectiveMs * lateShare,
    inTimeMs: objectiveMs * inTimeShare,
    severeMs: objectiveMs * severeShare,
  };
}
