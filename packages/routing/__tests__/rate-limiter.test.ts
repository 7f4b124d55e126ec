import {
  createHash,
  type DaemonId,
  type EndpointId,
  type Hash,
  type ServiceId,
} from '@vanillarelay/core';
import { createRateLimiter, mergeRateReports, type RateReports } from '@vanillarelay/routing';
import { createSeededRandom } from '@vanillarelay/scenarios';
import { beforeAll, describe, expect, it } from 'vitest';

const endpoint = 'e1' as EndpointId;
const service = 'desk' as ServiceId;
const stepMs = 10;
const exchangeMs = 250;
/** Delay of a report from one router to the others. */
const reportDelayMs = 750;
const windowMs = 4_000;

let hash: Hash;
beforeAll(async () => {
  hash = await createHash();
});

interface Replay {
  routers: number;
  limitPerS: number;
  /** Requests per second for the service, over all routers. */
  demandPerS: number;
  /** How unevenly callers come to the routers: the weight of each is a power of its position. */
  skew?: number;
  durationMs?: number;
  /** Time at which half of the routers restart. */
  restartAt?: number;
}

/** Replays requests at routers that exchange reports, and returns the times of those sent. */
function replay(options: Replay): number[] {
  const { routers, limitPerS, demandPerS, skew = 1, durationMs = 20_000, restartAt } = options;
  const random = createSeededRandom(7);
  const time = { now: 0 };
  const names = Array.from({ length: routers }, (_, index) => `router-${index}` as DaemonId);
  const create = (self: DaemonId) =>
    createRateLimiter({
      ...{ hash, self, clock: { monotonic: () => time.now }, listRouters: () => names },
      findService: () => service,
      notify: () => {},
    });
  const limiters = names.map(create);
  const weights = names.map((_, index) => (index + 1) ** -skew);
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  const sent: number[] = [];
  const reports: { at: number; parts: RateReports[] }[] = [];
  const runStep = (now: number): void => {
    time.now = now;
    if (now === restartAt) {
      limiters.splice(
        0,
        Math.ceil(routers / 2),
        ...names.slice(0, Math.ceil(routers / 2)).map(create),
      );
    }
    if (now % exchangeMs === 0) {
      reports.push({ at: now, parts: limiters.map((limiter) => limiter.readLocal()) });
      const known = reports.findLast(({ at }) => at <= now - reportDelayMs);
      limiters.forEach((limiter, self) => {
        if (known) {
          const others = known.parts.filter((_, index) => index !== self);
          limiter.updateRemote(addAge(mergeRateReports(others), now - known.at));
        }
      });
    }
    limiters.forEach((limiter, index) => {
      const expected = (demandPerS * (weights[index] ?? 0) * stepMs) / totalWeight / 1_000;
      if (random() >= expected) return;
      limiter.recordDemand(service);
      if (!limiter.hasCapacity(endpoint)) return;
      limiter.record(endpoint);
      sent.push(now);
      limiter.recordAnswer(endpoint, limitPerS);
    });
  };
  for (let now = 0; now < durationMs; now += stepMs) runStep(now);
  return sent;
}

function addAge(reports: RateReports, ms: number): RateReports {
  return Object.fromEntries(
    Object.entries(reports).map(([id, report]) => [id, { ...report, ageMs: report.ageMs + ms }]),
  );
}

/** Highest number of requests in any window that begins after the limit became known. */
function countBusiestWindow(times: readonly number[], from = 3_000): number {
  const counted = times.filter((at) => at >= from);
  return Math.max(
    0,
    ...counted.map((start) => counted.filter((at) => at >= start && at < start + windowMs).length),
  );
}

const computeBound = (limitPerS: number) => (limitPerS * 1.5 * windowMs) / 1_000 + 5;

describe('requests to an endpoint that names a limit', () => {
  const cases: [number, number, number][] = [
    [1, 1, 50],
    [13, 1, 100],
    [13, 10, 100],
    [13, 0.3, 100],
    [34, 1, 300],
    [34, 0.1, 300],
    [34, 5, 300],
    [34, 30, 300],
    [100, 10, 900],
  ];

  // Guards against a total over all routers that exceeds the limit, also where callers come unevenly.
  it.each(cases)(
    'stay within it with %i routers, %d per second and a demand of %i',
    (routers, limitPerS, demandPerS) => {
      const even = replay({ routers, limitPerS, demandPerS, skew: 0 });
      const uneven = replay({ routers, limitPerS, demandPerS, skew: 1.5 });
      const bound = computeBound(limitPerS);
      expect(countBusiestWindow(even)).toBeLessThanOrEqual(bound);
      expect(countBusiestWindow(uneven)).toBeLessThanOrEqual(bound);
    },
  );

  // Guards against shares that stay unused because callers come to few routers.
  it.each(cases.filter(([, limitPerS]) => limitPerS >= 5))(
    'use most of it with %i routers, %d per second and a demand of %i',
    (routers, limitPerS, demandPerS) => {
      const countAfterStart = (skew: number) =>
        replay({ routers, limitPerS, demandPerS, skew }).filter((at) => at >= 5_000).length;
      expect(countAfterStart(0)).toBeGreaterThan(limitPerS * 15 * 0.7);
      expect(countAfterStart(1.5)).toBeGreaterThan(limitPerS * 15 * 0.7);
    },
  );

  // Guards against restarted routers that take more than their share until they know the others.
  it('stay within it while half of the routers restart', () => {
    const sent = replay({ routers: 13, limitPerS: 10, demandPerS: 100, restartAt: 10_000 });
    expect(countBusiestWindow(sent)).toBeLessThanOrEqual(computeBound(10));
  });
});

describe('a limit that an endpoint names', () => {
  const create = () => {
    const time = { now: 0 };
    const changes: (number | undefined)[] = [];
    const limiter = createRateLimiter({
      ...{ hash, self: 'a' as DaemonId, listRouters: () => ['a' as DaemonId] },
      clock: { monotonic: () => time.now },
      findService: () => service,
      notify: (_, perS) => changes.push(perS),
    });
    return { time, changes, limiter };
  };

  // Guards against a limit that stays in force after the endpoint has stopped naming it.
  it('ends with an answer that names none', () => {
    const { changes, limiter } = create();
    limiter.recordAnswer(endpoint, 2);
    limiter.recordAnswer(endpoint, 1.5);
    limiter.recordAnswer(endpoint, undefined);
    expect([changes, limiter.hasCapacity(endpoint)]).toEqual([[2, 1.5, undefined], true]);
  });

  // Guards against an endpoint that gets nothing for ever, because no answer can end its limit.
  it('ends when no answer has confirmed it for a while', () => {
    const { time, limiter } = create();
    limiter.recordAnswer(endpoint, 0);
    const before = limiter.computeWaitMs(endpoint);
    time.now = 61_000;
    expect([before, limiter.computeWaitMs(endpoint)]).toEqual([Infinity, 0]);
  });

  // Guards against an older report of another router that replaces a newer answer.
  it('is not replaced by an older report', () => {
    const { time, limiter } = create();
    time.now = 5_000;
    limiter.recordAnswer(endpoint, 2);
    limiter.recordAnswer(endpoint, undefined);
    limiter.updateRemote({ [endpoint]: { limitPerS: 2, ageMs: 100, demandPerS: 1 } });
    expect(limiter.hasCapacity(endpoint)).toBe(true);
  });
});
