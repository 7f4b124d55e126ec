import { createHash, type DaemonId, type EndpointId, type Hash } from '@vanillarelay/core';
import {
  createColdRateLimiter,
  createHealthTracker,
  createRetryBudget,
} from '@vanillarelay/routing';
import { beforeAll, describe, expect, it } from 'vitest';

let hash: Hash;
beforeAll(async () => {
  hash = await createHash();
});

const endpoint = 'e1' as EndpointId;
const service = 'desk' as never;

/** Highest number of the given times within any second. */
function countBusiestSecond(times: readonly number[]): number {
  return Math.max(
    ...times.map((from) => times.filter((at) => at >= from && at < from + 1_000).length),
  );
}

describe('requests to a cold endpoint', () => {
  const ratePerS = 34;
  const bound = ratePerS * 1.5 + 5;

  function replay(routers: number, offeredPerS: number): number[] {
    let now = 0;
    const names = Array.from({ length: routers }, (_, index) => `router-${index}` as DaemonId);
    const limiters = names.map((self) =>
      createColdRateLimiter({
        ...{ hash, self, multiplier: 1.5, slack: 5 },
        clock: { monotonic: () => now },
        listRouters: () => names,
      }),
    );
    const sent: number[] = [];
    const stepMs = 1_000 / offeredPerS;
    for (let request = 0; request < offeredPerS * 3; request += 1) {
      now = request * stepMs;
      const limiter = limiters[(request * 7) % routers];
      if (limiter?.hasCapacity(endpoint, ratePerS)) {
        limiter.record(endpoint);
        sent.push(now);
      }
    }
    return sent;
  }

  // Guards against a total over all routers that overloads a cold endpoint.
  it.each([1, 3, 12, 41, 300])('stay within the bound with %i routers', (routers) => {
    const sent = replay(routers, 2_000);
    expect(countBusiestSecond(sent)).toBeLessThanOrEqual(bound);
  });

  // Guards against shares of the rate so small that a restarted endpoint receives almost no
  // requests.
  it.each([3, 12, 41])('use most of the rate with %i routers', (routers) => {
    expect(replay(routers, 2_000).length).toBeGreaterThan(ratePerS * 3 * 0.6);
  });
});

describe('retry budget', () => {
  // Guards against routers that together send more retries than the service can handle.
  it('keeps the retries of all routers within the ratio and the extra', () => {
    const routers = 10;
    let now = 0;
    const budgets = Array.from({ length: routers }, () =>
      createRetryBudget({
        ...{ ratio: 0.2, windowMs: 10_000, extra: 100 },
        clock: { monotonic: () => now },
        countRouters: () => routers,
      }),
    );
    let retries = 0;
    for (; now < 10_000; now += 10) {
      budgets.forEach((budget) => budget.recordRequest(service));
      retries += budgets.filter((budget) => budget.spend(service)).length;
    }
    expect(retries).toBeLessThanOrEqual(0.2 * 10_000 + 100);
    expect(retries).toBeGreaterThan(0.1 * 10_000);
  });
});

describe('health of endpoints', () => {
  const others = ['e2', 'e3', 'e4'] as EndpointId[];

  // Guards against a failing endpoint that no router detects from its own requests alone.
  it('includes outcomes from other routers until they are no longer reported', () => {
    let now = 0;
    const tracker = createHealthTracker({ monotonic: () => now });
    const all = [endpoint, ...others];
    all.forEach(tracker.recordSuccess);
    expect([...tracker.listFailing(all)]).toEqual([]);
    const good: [number, number] = [10, 0];
    tracker.updateRemote({ [endpoint]: [5, 5], e2: good, e3: good, e4: good } as never);
    expect([...tracker.listFailing(all)]).toEqual([endpoint]);
    tracker.updateRemote({});
    now = 20_000;
    expect([...tracker.listFailing(all)]).toEqual([]);
  });

  // Guards against avoiding every endpoint of a service whose requests fail equally everywhere.
  it('finds no endpoint failing when all fail equally often', () => {
    const tracker = createHealthTracker({ monotonic: () => 0 });
    const all = [endpoint, ...others];
    all.forEach((id) => {
      tracker.recordSuccess(id);
      tracker.recordFailure(id);
      tracker.recordFailure(id);
    });
    expect([...tracker.listFailing(all)]).toEqual([]);
  });

  // Guards against avoiding an endpoint that has started again since it refused connections.
  it('counts an endpoint as refusing connections only since it started', () => {
    let now = 100;
    const tracker = createHealthTracker({ monotonic: () => now });
    tracker.recordRefusal(endpoint);
    const before = [tracker.isRefusing(endpoint, 50), tracker.isRefusing(endpoint, 150)];
    now = 700;
    expect([before, tracker.isRefusing(endpoint, 50)]).toEqual([[true, false], false]);
  });

  it('avoids an unreachable endpoint for longer after each failure', () => {
    let now = 0;
    const tracker = createHealthTracker({ monotonic: () => now });
    tracker.recordUnreachable(endpoint);
    now = 600;
    const first = tracker.isAvoided(endpoint);
    tracker.recordUnreachable(endpoint);
    now = 1_200;
    expect([first, tracker.isAvoided(endpoint)]).toEqual([false, true]);
  });
});
