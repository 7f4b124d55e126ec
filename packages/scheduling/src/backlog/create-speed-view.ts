import type { EndpointId, ServiceId } from '@vanillarelay/core';
import { createDecayedMean } from '../cost/create-decayed-mean.js';
import { createRecentMap } from '../cost/create-recent-map.js';
import type { DecayedMean } from '../cost/decayed-mean.js';
import { computeSpeedWeight } from './compute-speed-weight.js';

interface Speed {
  /** Slow average of the reported factors. */
  lasting: number;
  /** The last report, and when it came. */
  last: number;
  at: number;
  /** The last reports that were far enough apart, oldest first. */
  samples: number[];
  sampledAt: number;
  /** Weight in the rendezvous order. */
  weight: number;
  /** Logarithm of seen against expected times. */
  correction: DecayedMean;
}

const usualPercent = 100;
const minFactor = 0.5;
const maxFactor = 8;
/** Time in which the slow average takes in most of a change. */
const lastingMs = 4_000;
/** Time in which most of the difference between the last report and the slow average is forgotten. */
const momentMs = 120;
/** Reports that follow sooner are of the same short period and would count it several times. */
const sampleIntervalMs = 50;
const maxSamples = 15;
const minSamples = 3;
/** A service without a report for this time is placed as before. */
const reportedMs = 30_000;
const maxEndpoints = 4_096;
const correctionPrior = { prior: 0, priorSpread: 0.5, priorWeight: 4, maxWeight: 20 };
/** Added to both times of a ratio, so that the step of an engine and the network count little. */
const ratioOffsetMs = 30;
/** Expected time from which an observation has the full weight. */
const fullWeightMs = 100;

/** Below this ratio the endpoint probably held the prompt, so the time says little of its speed. */
const heldRatio = 0.5;
const heldWeight = 0.2;

/** Creates the view of how long work takes at each endpoint, from reports and from seen times. */
export function createSpeedView() {
  const speeds = createRecentMap<EndpointId, Speed>(maxEndpoints);
  const reportedAt = new Map<ServiceId, number>();

  const findSpeed = (id: EndpointId): Speed => {
    const known = speeds.get(id);
    if (known) return known;
    const created: Speed = {
      ...{ lasting: 1, last: 1, at: -Infinity, samples: [], sampledAt: -Infinity, weight: 1 },
      correction: createDecayedMean(correctionPrior),
    };
    speeds.set(id, created);
    return created;
  };

  const addSample = (speed: Speed, factor: number, now: number): void => {
    if (now - speed.sampledAt < sampleIntervalMs) return;
    speed.sampledAt = now;
    speed.samples.push(factor);
    if (speed.samples.length > maxSamples) speed.samples.shift();
    if (speed.samples.length < minSamples) return;
    speed.weight = computeSpeedWeight(computeMidmean(speed.samples), speed.weight);
  };

  return {
    /** Records how long work takes at an endpoint of a service, in percent of the usual. */
    recordReport: (service: ServiceId, id: EndpointId, percent: number, now: number): void => {
      const factor = boundFactor(percent / usualPercent);
      const speed = findSpeed(id);
      const elapsedMs = Math.min(lastingMs, now - speed.at);
      const share = 1 - Math.exp(-Math.max(sampleIntervalMs, elapsedMs) / lastingMs);
      speed.lasting += share * (factor - speed.lasting);
      Object.assign(speed, { last: factor, at: now });
      addSample(speed, factor, now);
      speeds.set(id, speed);
      reportedAt.set(service, now);
    },
    /** Records the time to the first event of a request against the expected one. */
    recordSeen: (id: EndpointId, expectedMs: number, seenMs: number): void => {
      const ratio = (seenMs + ratioOffsetMs) / (expectedMs + ratioOffsetMs);
      const isHeldLikely = ratio < heldRatio;
      const fullShare = isHeldLikely ? heldWeight : 1;
      const weight = Math.min(1, Math.max(expectedMs, seenMs) / fullWeightMs) * fullShare;
      const limited = Math.min(maxFactor, Math.max(1 / maxFactor, ratio));
      const { correction } = findSpeed(id);
      // The expected time contains the correction that is known already.
      correction.add(Math.log(limited) + correction.readMean(), weight);
    },
    /** How long work takes at an endpoint now; 1 is usual. */
    readFactor: (id: EndpointId, now: number): number => {
      const speed = speeds.get(id);
      if (!speed) return 1;
      const { lasting, last, at, correction } = speed;
      const moment = (last - lasting) * Math.exp(-(now - at) / momentMs);
      return boundFactor((lasting + moment) * Math.exp(correction.readMean()));
    },
    /** Weight of an endpoint in the rendezvous order: its lasting speed, rounded coarsely. */
    readWeight: (id: EndpointId): number => speeds.get(id)?.weight ?? 1,
    /** Whether an endpoint of the service has reported how long work takes there. */
    isReported: (service: ServiceId, now: number): boolean => {
      const at = reportedAt.get(service);
      return at !== undefined && now - at < reportedMs;
    },
  };
}

function boundFactor(factor: number): number {
  return Math.min(maxFactor, Math.max(minFactor, factor));
}

/** The mean of the middle half, which short periods at another speed do not change. */
function computeMidmean(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const cut = Math.floor(sorted.length / 4);
  const middle = sorted.slice(cut, sorted.length - cut);
  return middle.reduce((sum, value) => sum + value, 0) / middle.length;
}
