import type { EndpointId } from '@vanillarelay/core';
import { createDecayedMean } from './create-decayed-mean.js';
import type { DecayedMean } from './decayed-mean.js';
import type { FirstEvent } from './first-event.js';
import type { WorkEstimate } from './work-estimate.js';
import type { WorkRequest } from './work-request.js';

interface WorkEstimatorOptions {
  /** What an endpoint, which may be the home of the prompt, probably has to read. */
  readUnread: (
    request: WorkRequest,
    endpoint: EndpointId,
    isHome: boolean,
  ) => Pick<WorkEstimate, 'readTokens' | 'heldShare'>;
}

interface ServiceWork {
  msPerToken: DecayedMean;
  /** Absolute logarithm of the ratio of seen and expected times. */
  error: DecayedMean;
}

interface RouteWork {
  baseMs: DecayedMean;
  outputTokens: DecayedMean;
}

/** Weights of values for times for each prompt token are tokens read. */
const msPerTokenPrior = {
  prior: 0.02,
  priorSpread: 0.01,
  priorWeight: 4_000,
  maxWeight: 200_000,
};
const errorPrior = { prior: 0.5, priorSpread: 0.5, priorWeight: 10, maxWeight: 100 };
const baseMsPrior = { prior: 10, priorSpread: 10, priorWeight: 3, maxWeight: 50 };
const outputTokensPrior = { prior: 100, priorSpread: 100, priorWeight: 2, maxWeight: 50 };
const minUncertainty = 0.1;
const maxUncertainty = 1;
/** Reading and waiting up to this time say more of the time without reading than of reading. */
const maxBaseWorkMs = 8;
/** Tokens below which the time of a request says too little of the time for each token. */
const minLearnedTokens = 200;
/** One observation changes a mean by at most this factor of it, because it may have another cause. */
const maxStep = 3;
/**
 * Beyond this factor an observation probably has another cause: the prompt was held there, or others
 * sent requests before it. It counts with a smaller share, so that a lasting change is still learned.
 */
const outlierFactor = 2.5;
const outlierShare = 0.15;
/** Added to both times of a ratio, so that short times with the same difference differ less. */
const ratioOffsetMs = 10;

/** Creates the estimates of what requests cost, which learn from the requests that were answered. */
export function createWorkEstimator({ readUnread }: WorkEstimatorOptions) {
  const services = new Map<string, ServiceWork>();
  const routes = new Map<string, RouteWork>();

  const findService = ({ service }: WorkRequest): ServiceWork => {
    const known = services.get(service);
    if (known) return known;
    const created = {
      msPerToken: createDecayedMean(msPerTokenPrior),
      error: createDecayedMean(errorPrior),
    };
    services.set(service, created);
    return created;
  };

  const findRoute = ({ service, route }: WorkRequest): RouteWork => {
    const key = `${service}\n${route}`;
    const known = routes.get(key);
    if (known) return known;
    const created = {
      baseMs: createDecayedMean(baseMsPrior),
      outputTokens: createDecayedMean(outputTokensPrior),
    };
    routes.set(key, created);
    return created;
  };

  const recordTimes = ({ request, estimate, waitMs, factor, seenMs }: FirstEvent): void => {
    const { readMs, readTokens, heldShare } = estimate;
    const { msPerToken } = findService(request);
    const { baseMs } = findRoute(request);
    const usualMs = seenMs / factor;
    if (readMs + waitMs <= maxBaseWorkMs) {
      baseMs.add(boundStep(usualMs - readMs - waitMs, baseMs.readMean()));
      return;
    }
    const isHeldKnown = heldShare === 0 || heldShare === 1;
    if (readTokens < minLearnedTokens || readMs < waitMs || !isHeldKnown) return;
    const perToken = (usualMs - baseMs.readMean() - waitMs) / readTokens;
    const mean = msPerToken.readMean();
    const isOutlier = perToken < mean / outlierFactor || perToken > mean * outlierFactor;
    msPerToken.add(boundStep(perToken, mean), readTokens * (isOutlier ? outlierShare : 1));
  };

  return {
    estimate: (request: WorkRequest, endpoint: EndpointId, isHome: boolean): WorkEstimate => {
      const { msPerToken, error } = findService(request);
      const { baseMs } = findRoute(request);
      const { readTokens, heldShare } = readUnread(request, endpoint, isHome);
      return {
        readTokens,
        heldShare,
        readMs: readTokens * msPerToken.readMean(),
        baseMs: baseMs.readMean(),
        writeTokens: estimateOutput(request, findRoute(request)),
        uncertainty: Math.min(maxUncertainty, Math.max(minUncertainty, error.readMean())),
      };
    },
    recordFirstEvent: (event: FirstEvent): void => {
      const { request, estimate, waitMs, factor, seenMs } = event;
      const expectedMs = (estimate.baseMs + waitMs + estimate.readMs) * factor;
      const ratio = (seenMs + ratioOffsetMs) / (expectedMs + ratioOffsetMs);
      findService(request).error.add(Math.abs(Math.log(ratio)));
      recordTimes(event);
    },
    /** Records the size of an answer that is complete. */
    recordEnd: (request: WorkRequest, outputTokens: number): void => {
      findRoute(request).outputTokens.add(outputTokens);
    },
  };
}

function estimateOutput(
  { maxOutputTokens = Infinity, outputTokensHint }: WorkRequest,
  { outputTokens }: RouteWork,
): number {
  return Math.min(maxOutputTokens, outputTokensHint ?? outputTokens.readMean());
}

function boundStep(value: number, mean: number): number {
  return Math.min(mean * maxStep, Math.max(mean / maxStep, value));
}
