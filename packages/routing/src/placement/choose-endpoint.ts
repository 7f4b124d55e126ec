import { findRendezvousFirst, type DataCentreId, type EndpointId, type Hash } from '@vanillarelay/core';
import type { Candidate } from './candidate.js';
import type { PlacementRequest } from './placement-request.js';

interface PlacementOptions {
  hash: Hash;
  random: () => number;
  dataCentre: DataCentreId;
}

interface Placement {
  id: EndpointId;
  /** Why this endpoint was taken, for the log. */
  reason: 'home' | 'nextHome' | 'leastLoaded' | 'onlyAvoidedLeft';
}

/** A home is passed over above this multiple of the mean load, plus the allowance. */
const homeLoadFactor = 1.5;
const homeLoadAllowance = 2;
/** Load, as a share of the slots, that a nearer endpoint is worth. */
const nearDiscount = 0.15;

/**
 * Chooses the endpoint of a request. One with a prompt goes to the home of that prompt, the first
 * in its rendezvous order that is not loaded far above the mean; every router finds the same home.
 * Others go to the least loaded, a near one first. Returns undefined when there is no candidate.
 */
export function chooseEndpoint(
  candidates: readonly Candidate[],
  request: PlacementRequest,
  options: PlacementOptions,
): Placement | undefined {
  const untried = candidates.filter(({ id }) => !request.tried.has(id));
  const sound = untried.filter(({ isAvoided, isFailing }) => !isAvoided && !isFailing);
  const usable = sound.length > 0 ? sound : untried.filter(({ isAvoided }) => !isAvoided);
  if (usable.length === 0) {
    const last = chooseLeastLoaded(untried, options);
    return last && { id: last, reason: 'onlyAvoidedLeft' };
  }
  if (request.affinityKey !== undefined) {
    const home = chooseHome(usable, candidates, request.affinityKey, options.hash);
    if (home) return home;
  }
  const id = chooseLeastLoaded(usable, options);
  return id && { id, reason: 'leastLoaded' };
}

function chooseHome(
  usable: readonly Candidate[],
  all: readonly Candidate[],
  key: string,
  hash: Hash,
): Placement | undefined {
  const mean = all.reduce((sum, { load }) => sum + load, 0) / all.length;
  const bound = homeLoadFactor * mean + homeLoadAllowance;
  const loads = new Map(usable.map(({ id, load }) => [id, load]));
  const ids = [...loads.keys()];
  const skip = new Set<EndpointId>();
  while (skip.size < ids.length) {
    const id = findRendezvousFirst(hash, key, ids, skip);
    if (id === undefined) return undefined;
    if ((loads.get(id) ?? 0) < bound) return { id, reason: skip.size === 0 ? 'home' : 'nextHome' };
    skip.add(id);
  }
  return undefined;
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
    const score = share - (candidate.dataCentre === dataCentre ? nearDiscount : 0);
    if (score >= lowest) return;
    lowest = score;
    best = candidate.id;
  });
  return best;
}
