import type { RolloutBounds } from './rollout-bounds.js';

interface CanaryOptions extends RolloutBounds {
  ageMs: number;
  /** Time from the order to the planned end. */
  planMs: number;
  /** Requests of the service per millisecond, at all routers. */
  requestsPerMs: number;
}

/** Share of the requests that the new version gets at first. */
const firstShare = 0.03;
/** Part of the plan after which the share grows, and the factor that it has grown by at the end. */
const growthFrom = 0.6;
const growthFactor = 2;
/** Answers that the verdict needs within the first part of the plan. */
const neededAnswers = 60;
const neededWithin = 0.5;
/** Part of the exposure that the canary may use, so that the last phase has the rest. */
const canaryPart = 0.6;
/** Age before which the rate is not known well enough to decide the share. */
const minRateAgeMs = 500;

/**
 * Computes the share of the requests that go to the new version before the last phase. It is larger
 * for services with few requests, which would otherwise have no verdict by the end, and doubles in
 * steps, so that chats change sides seldom.
 */
export function computeCanaryShare(options: CanaryOptions): number {
  const { ageMs, planMs, requestsPerMs, exposeShare, exposeSlack } = options;
  const progress = Math.min(1, Math.max(0, ageMs / planMs - growthFrom) / (1 - growthFrom));
  const growth = 1 + (growthFactor - 1) * progress;
  if (ageMs < minRateAgeMs || requestsPerMs <= 0) return firstShare * growth;
  const expected = requestsPerMs * planMs;
  const needed = neededAnswers / (expected * neededWithin);
  const affordable = (canaryPart * (exposeShare * expected + exposeSlack)) / expected;
  const wanted = Math.min(needed, affordable);
  const doublings = Math.max(0, Math.floor(Math.log2(Math.min(1, wanted) / firstShare)));
  return Math.min(1, firstShare * 2 ** doublings * growth);
}
