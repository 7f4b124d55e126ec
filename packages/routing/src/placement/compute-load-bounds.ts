/**
 * Bounds on the load of an endpoint: a factor times the mean load, plus an allowance. Below the
 * lower bound the endpoint accepts every prompt, above the upper bound it accepts none. In between,
 * the share of accepted prompts falls with its load: routers receive loads with a delay, and with a
 * single bound all of them would skip the endpoint, and return to it, at the same time. The share
 * counts prompts, not requests, because a prompt whose requests alternated between two endpoints
 * would be processed at both.
 */
const lowerFactor = 1.6;
const lowerAllowance = 2.4;
const upperFactor = 1.85;
const upperAllowance = 2.8;

/** Computes the bounds on the load of an endpoint from the mean load of its service. */
export function computeLoadBounds(meanLoad: number): { lower: number; upper: number } {
  return {
    lower: lowerFactor * meanLoad + lowerAllowance,
    upper: upperFactor * meanLoad + upperAllowance,
  };
}
