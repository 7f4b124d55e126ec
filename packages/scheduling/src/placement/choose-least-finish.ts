import type { Candidate } from '@vanillarelay/routing';
import type { FinishOptions } from './finish-options.js';
import type { FinishPlacement } from './finish-placement.js';
import type { FinishRequest } from './finish-request.js';

interface Option {
  candidate: Candidate;
  costMs: number;
}

/** Endpoints whose cost is higher than the least by less than this share count as equal. */
const equalShare = 0.05;
/** Number of endpoints that are compared; of more, a random sample is nearly as good. */
const comparedCount = 48;
/** Taken off the load per slot of endpoints in the router's data centre, to prefer them. */
const localDiscount = 0.15;

/**
 * Chooses the endpoint for a request without a prompt: the less loaded of two that are drawn at
 * random from those whose expected finish is nearly the least, so that routers with the same view do
 * not all choose the same endpoint. Returns undefined when there is no candidate.
 */
export function chooseLeastFinish(
  candidates: readonly Candidate[],
  { triedDataCentres }: FinishRequest,
  { random, dataCentre, estimateFinish }: FinishOptions,
): FinishPlacement | undefined {
  if (candidates.length === 0) return undefined;
  const computeShare = ({ load, slots, dataCentre: own }: Candidate): number =>
    load / Math.max(1, slots) - (own === dataCentre ? localDiscount : 0);
  const options = selectSample(candidates, random).map((candidate): Option => {
    const { ms } = estimateFinish(candidate.id, false);
    return { candidate, costMs: ms * (1 + computeShare(candidate)) };
  });
  const leastMs = options.reduce((least, { costMs }) => Math.min(least, costMs), Infinity);
  const limitMs = leastMs * (1 + equalShare);
  const equal = options.flatMap(({ candidate, costMs }) => (costMs <= limitMs ? [candidate] : []));
  const independent = equal.filter((candidate) => !triedDataCentres.has(candidate.dataCentre));
  const drawn = independent.length > 0 ? independent : equal;
  const start = Math.floor(random() * drawn.length);
  const distance = 1 + Math.floor(random() * (drawn.length - 1));
  const one = drawn[start];
  const other = drawn[(start + distance) % drawn.length];
  if (!one || !other) return undefined;
  const { id } = computeShare(other) < computeShare(one) ? other : one;
  return { id, reason: 'leastFinish', isHome: false };
}

/** Selects endpoints at equal distances from a random start, so that all data centres are in it. */
function selectSample(candidates: readonly Candidate[], random: () => number): Candidate[] {
  const count = Math.min(comparedCount, candidates.length);
  const start = Math.floor(random() * candidates.length);
  return Array.from({ length: count }, (_, index) => {
    const offset = Math.floor((index * candidates.length) / count);
    return candidates[(start + offset) % candidates.length];
  }).filter((candidate) => candidate !== undefined);
}
