import {
  sortByRendezvous,
  type DataCentreId,
  type EndpointId,
  type Hash,
} from '@vanillarelay/core';
import type { Candidate } from './candidate.js';
import { computeLoadBounds } from './compute-load-bounds.js';
import { computePromptDraw } from './compute-prompt-draw.js';
import { isPromptAccepted } from './is-prompt-accepted.js';
import type { PlacementRequest } from './placement-request.js';
import { selectUntried } from './select-untried.js';

interface PlacementOptions {
  hash: Hash;
  random: () => number;
  dataCentre: DataCentreId;
}

interface Placement {
  id: EndpointId;
  /** Why this endpoint was chosen, for the log. */
  reason: 'home' | 'nextHome' | 'leastLoaded' | 'doubted';
}

/** Subtracted from the load per slot of endpoints in the router's data centre, to prefer them. */
const localDiscount = 0.15;

/**
 * Chooses the endpoint for a request. A request with a prompt is sent to the home of that prompt:
 * the first healthy endpoint in its rendezvous order whose load is not far above the mean. The
 * order is the same at every router. Other requests are sent to the least loaded endpoint, with a
 * preference for the router's data centre. Endpoints with a health issue receive requests only when
 * the healthy ones are loaded far above the mean of all, so that the requests are never
 * concentrated on a few endpoints; if all are, the bound is that of the healthy ones. Those that refuse connections receive requests only when there is
 * no other endpoint. Returns undefined when there is no candidate.
 */
export function chooseEndpoint(
  candidates: readonly Candidate[],
  request: PlacementRequest,
  options: PlacementOptions,
): Placement | undefined {
  const { meanLoad, affinityKey } = request;
  const untried = selectUntried(candidates, request, options.hash);
  const healthy = untried.filter(({ healthIssue }) => healthIssue === undefined);
  if (affinityKey !== undefined) {
    const home = chooseHome(healthy, affinityKey, meanLoad, options);
    if (home) return home;
  }
  const bound = computeLoadBounds(meanLoad).upper;
  const listening = untried.filter(({ healthIssue }) => healthIssue !== 'refusing');
  const belowBound = listening.filter(({ load }) => load < bound);
  const healthyBelowBound = belowBound.filter(({ healthIssue }) => healthIssue === undefined);
  const usable =
    [healthyBelowBound, belowBound, healthy, listening, untried].find(({ length }) => length > 0) ??
    [];
  if (affinityKey !== undefined && usable === healthyBelowBound) {
    const [next] = sortByRendezvous(options.hash, affinityKey, usable.map(toId));
    if (next !== undefined) return { id: next, reason: 'nextHome' };
  }
  if (affinityKey !== undefined && usable === healthy) {
    const next = chooseHome(usable, affinityKey, computeMeanLoad(usable), options);
    if (next) return { id: next.id, reason: 'nextHome' };
  }
  const id = chooseLeastLoaded(usable, options);
  if (id === undefined) return undefined;
  const hasHealthIssue = usable.some(
    (candidate) => candidate.id === id && candidate.healthIssue !== undefined,
  );
  return { id, reason: hasHealthIssue ? 'doubted' : 'leastLoaded' };
}

function computeMeanLoad(candidates: readonly Candidate[]): number {
  const total = candidates.reduce((sum, { load }) => sum + load, 0);
  return total / Math.max(1, candidates.length);
}

function chooseHome(
  healthy: readonly Candidate[],
  key: string,
  meanLoad: number,
  { hash }: PlacementOptions,
): Placement | undefined {
  const bounds = computeLoadBounds(meanLoad);
  const loads = new Map(healthy.map(({ id, load }) => [id, load]));
  const order = sortByRendezvous(hash, key, healthy.map(toId));
  const draw = computePromptDraw(hash, key);
  const id = order.find((candidate) => isPromptAccepted(loads.get(candidate) ?? 0, bounds, draw));
  if (id === undefined) return undefined;
  return { id, reason: id === order[0] ? 'home' : 'nextHome' };
}

function toId({ id }: Candidate): EndpointId {
  return id;
}

function chooseLeastLoaded(
  candidates: readonly Candidate[],
  { random, dataCentre }: PlacementOptions,
): EndpointId | undefined {
  const start = Math.floor(random() * candidates.length);
  let best: EndpointId | undefined;
  let lowest = Infinity;
  candidates.forEach((_, offset) => {
    const candidate = candidates[(start + offset) % candidates.length];
    if (!candidate) return;
    const share = candidate.load / Math.max(1, candidate.slots);
    const score = share - (candidate.dataCentre === dataCentre ? localDiscount : 0);
    if (score >= lowest) return;
    lowest = score;
    best = candidate.id;
  });
  return best;
}
