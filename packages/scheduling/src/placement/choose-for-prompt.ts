import type { EndpointId } from '@vanillarelay/core';
import {
  computeLoadBounds,
  computePromptDraw,
  isPromptAccepted,
  type Candidate,
} from '@vanillarelay/routing';
import type { Finish } from './finish.js';
import type { FinishOptions } from './finish-options.js';
import type { FinishPlacement } from './finish-placement.js';
import type { FinishRequest } from './finish-request.js';

interface Option {
  candidate: Candidate;
  finish: Finish;
  /** Expected time to the first event plus what the choice costs other requests. */
  costMs: number;
}

/** Number of endpoints in the order of a prompt that are compared. */
const comparedCount = 4;
/** Probability from which a prompt counts as held, for the reason that is logged. */
const minHeldShare = 0.5;
/**
 * What reading a prompt away from its home costs the fleet, as a share of the time that it takes:
 * other routers, which do not know of it, send the prompt to its home, where it is read as well.
 */
const rereadShare = 0.6;
/** What reading costs the streams of an endpoint whose load is twice the mean, as a share. */
const disturbanceShare = 0.3;
/** Shares of the expected time and times by which another endpoint must be better. */
const moveGain = { share: 0.3, ms: 30 };
/** An endpoint in another data centre than a failed one is preferred up to this difference. */
const independenceGain = { share: 0.25, ms: 20 };

/**
 * Chooses among the first endpoints in the order of a prompt. The home keeps it while its request
 * probably meets its objective there. Returns undefined when no endpoint accepts the prompt.
 */
export function chooseForPrompt(
  healthy: readonly Candidate[],
  key: string,
  request: FinishRequest,
  options: FinishOptions,
): FinishPlacement | undefined {
  const { hash, order } = options;
  const bounds = computeLoadBounds(request.meanLoad);
  const draw = computePromptDraw(hash, key);
  const isAccepting = ({ load }: Candidate) => isPromptAccepted(load, bounds, draw);
  const ordered = listOrdered(healthy, order.listFirst(key, healthy.map(toId)));
  const home = ordered[0]?.id;
  const first = ordered.filter(isAccepting).slice(0, comparedCount);
  const kept = healthy.find((candidate) => candidate.id === request.keptAt);
  const usual = kept && isAccepting(kept) ? kept : first[0];
  if (!usual) return undefined;
  const isHome = usual.id === home;
  const usualReason = findUsualReason(usual === kept, isHome);
  const usualFinish = options.estimateFinish(usual.id, isHome);
  const isHeld = usualFinish.estimate.heldShare >= minHeldShare;
  const isRetry = request.triedDataCentres.size > 0;
  if (!isRetry && isLikelyInTime(usualFinish, request))
    return { id: usual.id, reason: usualReason, isHome };
  const compared = [
    usual,
    ...first.filter(({ id }) => id !== usual.id).slice(0, comparedCount - 1),
  ].map((candidate) => buildOption(candidate, usual, usualFinish, home, request, options));
  const best = chooseBest(compared, request);
  const { candidate } = isRetry ? chooseIndependent(best, compared, request) : best;
  if (candidate.id === usual.id) return { id: usual.id, reason: usualReason, isHome };
  const reason = isHeld ? 'sooner' : 'firstRead';
  return { id: candidate.id, reason, isHome: candidate.id === home };
}

/** The endpoints of an order that are healthy. */
function listOrdered(healthy: readonly Candidate[], order: readonly EndpointId[]): Candidate[] {
  const places = new Map(order.map((id, index) => [id, index]));
  const ordered: Candidate[] = [];
  healthy.forEach((candidate) => {
    const place = places.get(candidate.id);
    if (place !== undefined) ordered[place] = candidate;
  });
  return ordered.filter((candidate) => candidate !== undefined);
}

function toId({ id }: Candidate): EndpointId {
  return id;
}

function findUsualReason(isKept: boolean, isHome: boolean): FinishPlacement['reason'] {
  if (isHome) return 'home';
  return isKept ? 'kept' : 'nextHome';
}

function isLikelyInTime(
  { ms, estimate }: Finish,
  { objectiveLeftMs }: Pick<FinishRequest, 'objectiveLeftMs'>,
): boolean {
  return ms * (1 + estimate.uncertainty) <= objectiveLeftMs;
}

function buildOption(
  candidate: Candidate,
  usual: Candidate,
  usualFinish: Finish,
  home: EndpointId | undefined,
  { meanLoad }: FinishRequest,
  { estimateFinish }: FinishOptions,
): Option {
  const isUsual = candidate.id === usual.id;
  const finish = isUsual ? usualFinish : estimateFinish(candidate.id, candidate.id === home);
  const { readMs } = finish.estimate;
  const rereadMs = isUsual ? 0 : readMs;
  const excessLoad = Math.min(1, Math.max(0, candidate.load - meanLoad) / (meanLoad + 1));
  const costMs =
    finish.ms +
    rereadMs * finish.factor * rereadShare +
    readMs * finish.factor * excessLoad * disturbanceShare;
  return { candidate, finish, costMs };
}

/**
 * The first option, unless the gain of another is clear: then the first in the order that probably
 * meets the objective, so that routers with slightly different views agree, or that of least cost.
 */
function chooseBest(options: readonly Option[], request: FinishRequest): Option {
  const [usual, ...others] = options as [Option, ...Option[]];
  const limitMs = usual.costMs * (1 - moveGain.share) - moveGain.ms;
  const soon = others.find(
    ({ costMs, finish }) => costMs < limitMs && isLikelyInTime(finish, request),
  );
  if (soon) return soon;
  return others.reduce(
    (best, option) => (option.costMs < Math.min(limitMs, best.costMs) ? option : best),
    usual,
  );
}

/** The best option in a data centre where no attempt was made, if it is nearly as good. */
function chooseIndependent(
  best: Option,
  options: readonly Option[],
  { triedDataCentres }: FinishRequest,
): Option {
  if (!triedDataCentres.has(best.candidate.dataCentre)) return best;
  const limitMs = best.costMs * (1 + independenceGain.share) + independenceGain.ms;
  const independent = options.filter(
    ({ candidate, costMs }) => costMs <= limitMs && !triedDataCentres.has(candidate.dataCentre),
  );
  return (
    independent.reduce<Option | undefined>(
      (found, option) => (found && found.costMs <= option.costMs ? found : option),
      undefined,
    ) ?? best
  );
}
