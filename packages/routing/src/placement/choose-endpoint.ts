import {
  sortByRendezvous,
  type DataCentreId,
  type EndpointId,
  type Hash,
} from '@vanillarelay/core';
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
  reason: 'home' | 'nextHome' | 'leastLoaded' | 'doubted';
}

/**
 * An endpoint takes every prompt below the lower bound and none above the upper one; in between it
 * takes a share. Routers know loads with a lag, and a sharp bound would make all of them pass it
 * over, and come back to it, at the same time. The share is one of prompts, not of requests: a prompt
 * that went to and fro would be read at both endpoints.
 */
const lowerFactor = 1.6;
const lowerAllowance = 2.4;
const upperFactor = 1.85;
const upperAllowance = 2.8;
const hashRange = 2 ** 32;
/** Load, as a share of the slots, that a nearer endpoint is worth. */
const nearDiscount = 0.15;

/**
 * Chooses the endpoint of a request. One with a prompt goes to the home of that prompt, the first
 * in its rendezvous order that is not loaded far above the mean; every router finds the same home.
 * Others go to the least loaded, a near one first. Endpoints in doubt get what would load the sound
 * ones far above the mean of all, so that doubts never pile the work onto a few. Returns undefined
 * when there is no candidate.
 */
export function chooseEndpoint(
  candidates: readonly Candidate[],
  request: PlacementRequest,
  options: PlacementOptions,
): Placement | undefined {
  const untried = candidates.filter(({ id }) => !request.tried.has(id));
  const sound = untried.filter(({ doubt }) => doubt === undefined);
  const { mean, affinityKey } = request;
  if (affinityKey !== undefined) {
    const home = chooseHome(sound, affinityKey, mean, options);
    if (home) return home;
  }
  const bound = computeUpperBound(mean);
  const light = untried.filter(({ load }) => load < bound);
  const soundAndLight = light.filter(({ doubt }) => doubt === undefined);
  const usable = [soundAndLight, light, sound, untried].find(({ length }) => length > 0) ?? [];
  if (affinityKey !== undefined && usable === soundAndLight) {
    const [next] = sortByRendezvous(options.hash, affinityKey, usable.map(toId));
    if (next !== undefined) return { id: next, reason: 'nextHome' };
  }
  const id = chooseLeastLoaded(usable, options);
  if (id === undefined) return undefined;
  const isDoubted = usable.some((one) => one.id === id && one.doubt !== undefined);
  return { id, reason: isDoubted ? 'doubted' : 'leastLoaded' };
}

function chooseHome(
  sound: readonly Candidate[],
  key: string,
  mean: number,
  { hash }: PlacementOptions,
): Placement | undefined {
  const lower = lowerFactor * mean + lowerAllowance;
  const upper = computeUpperBound(mean);
  const loads = new Map(sound.map(({ id, load }) => [id, load]));
  const order = sortByRendezvous(hash, key, sound.map(toId));
  const draw = hash(`share ${key}`) / hashRange;
  const id = order.find((one) => {
    const share = (upper - (loads.get(one) ?? 0)) / (upper - lower);
    return share > draw;
  });
  if (id === undefined) return undefined;
  return { id, reason: id === order[0] ? 'home' : 'nextHome' };
}

function computeUpperBound(mean: number): number {
  return upperFactor * mean + upperAllowance;
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
    const score = share - (candidate.dataCentre === dataCentre ? nearDiscount : 0);
    if (score >= lowest) return;
    lowest = score;
    best = candidate.id;
  });
  return best;
}
