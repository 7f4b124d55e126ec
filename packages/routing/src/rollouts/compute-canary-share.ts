import { computeExposure } from './compute-exposure.js';
import type { TrafficFigures } from './traffic-figures.js';

/** Share of the requests that the new version gets at first. */
const firstShare = 0.03;
/** Limits of the share while it grows with what the last phase leaves over. */
const minGrowthShare = 0.01;
const maxGrowthShare = 0.06;
/** Time that the last phase should have, as a part of the duration. */
const lastPart = 0.1;
const minWantedLastMs = 1_000;
/** Answers that the verdict needs within the first part of the plan. */
const neededAnswers = 60;
const neededWithin = 0.5;
/** Part of the exposure that the canary may use, so that the last phase has the rest. */
const canaryPart = 0.65;
/** Factor by which the share changes at once. */
const shareStep = 1.4;
/** Age before which the rate is not known well enough to decide the share. */
const minRateAgeMs = 500;

/**
 * Computes the share of the requests that go to the new version before the last phase. Until the
 * evidence for good is complete it is larger for services with few requests, which would otherwise
 * have no verdict by the end, and changes in steps, so that chats change sides seldom. After
 * that it is what remains when the last phase has its part of the exposure.
 */
export function computeCanaryShare(figures: TrafficFigures, isEvident: boolean): number {
  const { ageMs, planMs, requestsPerMs } = figures;
  if (ageMs < minRateAgeMs || requestsPerMs <= 0) return firstShare;
  return isEvident
    ? computeGrowthShare(figures)
    : computeFirstShare(planMs * requestsPerMs, figures);
}

function computeFirstShare(expected: number, figures: TrafficFigures): number {
  const needed = neededAnswers / (expected * neededWithin);
  const affordable = (canaryPart * computeExposure(figures)) / expected;
  const wanted = Math.min(needed, affordable, 1);
  const steps = Math.floor(Math.log(wanted / firstShare) / Math.log(shareStep));
  return firstShare * shareStep ** Math.max(0, steps);
}

function computeGrowthShare(figures: TrafficFigures): number {
  const { ageMs, planMs, durationMs, requestsPerMs, newAnswers } = figures;
  const lastMs = Math.max(minWantedLastMs, durationMs * lastPart);
  const leftMs = Math.max(minWantedLastMs, planMs - lastMs - ageMs);
  const leftOver = computeExposure(figures) - newAnswers - requestsPerMs * lastMs;
  return Math.min(maxGrowthShare, Math.max(minGrowthShare, leftOver / (requestsPerMs * leftMs)));
}
