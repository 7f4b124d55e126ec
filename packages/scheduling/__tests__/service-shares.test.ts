import { createHash, type DaemonId, type EndpointId, type ServiceId } from '@vanillarelay/core';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { computeEqualPart } from '../src/shares/compute-equal-part.js';
import { createPlaceLimits } from '../src/shares/create-place-limits.js';
import { createServiceShares } from '../src/shares/create-service-shares.js';
import type { DemandGroup } from '../src/shares/demand-group.js';
import type { DemandReports } from '../src/shares/demand-reports.js';
import { mergeDemandReports } from '../src/shares/merge-demand-reports.js';
import { splitPlaces } from '../src/shares/split-places.js';
import { createUrgentReserve } from '../src/waiting/create-urgent-reserve.js';

const seed = 20_261_206;
const service = 'desk' as ServiceId;

describe('the split of places', () => {
  // Guards against less urgent requests that take places from urgent ones.
  it('serves the more urgent groups first', () => {
    const demands = new Map<DemandGroup, number>([
      ['1 a', 9],
      ['0 b', 4],
      ['1 c', 2],
    ]);
    expect([...splitPlaces(10, demands)]).toEqual([
      ['0 b', 4],
      ['1 c', 2],
      ['1 a', 4],
    ]);
  });

  // Guards against more places given than there are, and against an account that gets less than its
  // fair share while another one gets more.
  it('never exceeds the places and gives an account less only if it needs less', () => {
    const demand = fc.array(fc.integer({ min: 1, max: 60 }), { minLength: 1, maxLength: 8 });
    fc.assert(
      fc.property(fc.nat(100), demand, (places, list) => {
        const demands = new Map(list.map((count, index) => [`1 a${index}` as DemandGroup, count]));
        const parts = splitPlaces(places, demands);
        const sum = [...parts.values()].reduce((total, part) => total + part, 0);
        const most = Math.max(...parts.values());
        const isFair = [...parts].every(
          ([group, part]) => part > most - 1e-9 || part === demands.get(group),
        );
        return sum <= places + 1e-9 && isFair;
      }),
      { seed, numRuns: 500 },
    );
  });
});

describe('the shares of routers in a full service', () => {
  const places = 60;

  /** Creates routers with what waits at each, after one exchange of their reports. */
  const createRouters = (waits: readonly (readonly [DemandGroup, number][])[]) => {
    const routers = waits.map((list) => ({
      shares: createServiceShares({ random: () => 0 }),
      waiting: new Map(list),
    }));
    const reports = routers.map(({ shares, waiting }) =>
      shares.readLocal(new Map([[service, waiting]])),
    );
    routers.forEach(({ shares }, index) => {
      shares.updateRemote(mergeDemandReports(reports.filter((_, other) => other !== index)), 0);
    });
    return routers;
  };

  // Guards against an account that gets more places by sending to many routers at once.
  it('hold an account that surges at 30 routers to its share as at one', () => {
    const surge: [DemandGroup, number] = ['1 surge', 10];
    const routers = createRouters(
      Array.from({ length: 30 }, (_, index) =>
        index < 5 ? [surge, [`1 usual${index}` as DemandGroup, 10]] : [surge],
      ),
    );
    const readAllowed = (group: DemandGroup) =>
      routers.reduce(
        (sum, { shares, waiting }) =>
          waiting.has(group)
            ? sum + shares.computeAllowed({ service, group, waiting, places, load: 0 })
            : sum,
        0,
      );
    const usual = [0, 1, 2, 3, 4].map((index) => readAllowed(`1 usual${index}`));
    expect([usual, readAllowed('1 surge') <= 10]).toEqual([[10, 10, 10, 10, 10], true]);
  });

  // Guards against routers that together take more places than there are.
  it('add up to no more than the places when they know the same', () => {
    const group = fc.tuple(fc.constantFrom('0 a', '1 a', '1 b', '2 c'), fc.integer({ min: 1 }));
    const waits = fc.array(
      fc.uniqueArray(
        group.map(([name, count]): [DemandGroup, number] => [
          name as DemandGroup,
          (count % 40) + 1,
        ]),
        { selector: ([name]) => name, minLength: 1, maxLength: 4 },
      ),
      { minLength: 1, maxLength: 12 },
    );
    fc.assert(
      fc.property(waits, (lists) => {
        const sum = createRouters(lists).reduce((total, { shares, waiting }) => {
          const allowed = [...waiting.keys()].map((name) =>
            shares.computeAllowed({ service, group: name, waiting, places, load: 0 }),
          );
          return total + allowed.reduce((each, count) => each + count, 0);
        }, 0);
        return sum <= places;
      }),
      { seed, numRuns: 300 },
    );
  });

  // Guards against places that stay empty because routers where nothing waits report nothing.
  it('leave the places in use at routers where nothing waits to these', () => {
    const [router] = createRouters([[['1 a', 50]], []]);
    const { shares, waiting } = router!;
    const request = { service, group: '1 a' as DemandGroup, waiting, places };
    expect([
      shares.computeAllowed({ ...request, load: 20 }),
      shares.computeAllowed({ ...request, load: 0 }),
    ]).toEqual([40, 50]);
  });

  // Guards against shares that are computed from what other routers reported long ago.
  it('are outdated 1 s after the last news', () => {
    const shares = createServiceShares({ random: () => 0 });
    const before = shares.isOutdated(0);
    shares.updateRemote({}, 100);
    expect([before, shares.isOutdated(1_100), shares.isOutdated(1_101)]).toEqual([
      ...[true, false, true],
    ]);
  });

  // Guards against messages that grow with the number of accounts and services.
  it('are reported with bounded bytes, and not at all while nothing waits', () => {
    const shares = createServiceShares({ random: () => 0 });
    const waiting = new Map<ServiceId, ReadonlyMap<DemandGroup, number>>(
      Array.from({ length: 30 }, (_, index) => [
        `service${index}` as ServiceId,
        new Map(Array.from({ length: 90 }, (__, each) => [`${each % 3} account${each}`, each + 1])),
      ]),
    );
    const report = shares.readLocal(waiting);
    const sum = mergeDemandReports(
      Array.from({ length: 100 }, (_, index): DemandReports => ({
        [service]: { [`1 account${index}` as DemandGroup]: [index, 0] },
      })),
    );
    const services = mergeDemandReports(
      Array.from({ length: 30 }, (_, index): DemandReports => ({
        [`service${index}` as ServiceId]: { '1 a': [index, 0] },
      })),
    );
    expect(Object.keys(services)).toEqual(
      [29, 28, 27, 26, 25, 24, 23, 22].map((index) => `service${index}`),
    );
    expect([
      JSON.stringify(report).length < 700,
      Object.keys(sum[service] ?? {}).length,
      sum[service]?.['1 *'],
      shares.readLocal(new Map([[service, new Map()]])),
    ]).toEqual([true, 9, [(91 * 92) / 2, 0], {}]);
  });
});

describe('the equal part of a router that is cut off', () => {
  // Guards against cut-off routers that together send an endpoint more than it may hold.
  it('adds up to the places of each endpoint over all routers', async () => {
    const hash = await createHash();
    const numbers = fc.tuple(fc.integer({ min: 1, max: 60 }), fc.nat(200), fc.nat(9));
    fc.assert(
      fc.property(numbers, ([count, places, index]) => {
        const routers = Array.from({ length: count }, (_, each) => `r${each}` as DaemonId);
        const key = `e${index}`;
        const sum = routers.reduce(
          (total, self) => total + computeEqualPart({ hash, key, places, self, routers }),
          0,
        );
        return sum === places;
      }),
      { seed, numRuns: 100 },
    );
  });
});

describe('the limits at an endpoint of a full service', () => {
  // Guards against routers that all take the same free places, in any order of sends and ends, and
  // against cut-off routers that do so: with what they know, no endpoint gets more than its bound.
  it('are never exceeded by routers with the same news, or without any', async () => {
    const hash = await createHash();
    const endpoint = 'e1' as EndpointId;
    const steps = fc.array(fc.tuple(fc.nat(19), fc.boolean()), { maxLength: 400 });
    const setting = fc.record({
      counts: fc.array(fc.nat(4), { minLength: 1, maxLength: 20 }),
      places: fc.integer({ min: 1, max: 90 }),
      isOutdated: fc.boolean(),
    });
    fc.assert(
      fc.property(setting, steps, ({ counts, places, isOutdated }, list) => {
        const routers = counts.map((_, index) => `r${index}` as DaemonId);
        const known = isOutdated ? counts.map(() => 0) : [...counts];
        const total = known.reduce((sum, count) => sum + count, 0);
        const limits = routers.map((self) =>
          createPlaceLimits({ hash, self, listRouters: () => routers }),
        );
        const inFlight = [...known];
        const mayTake = (index: number): boolean => {
          const own = inFlight[index]!;
          const load = total - known[index]! + own;
          return limits[index]!.mayTake({ endpoint, places, load, own }, isOutdated);
        };
        // Each router hears the same news before the first send.
        routers.forEach((_, index) => mayTake(index));
        let most = 0;
        list.forEach(([draw, isStart]) => {
          const index = draw % routers.length;
          if (isStart && mayTake(index)) inFlight[index]! += 1;
          if (!isStart && inFlight[index]! > 0) inFlight[index]! -= 1;
          most = Math.max(
            most,
            inFlight.reduce((sum, count) => sum + count, 0),
          );
        });
        return most <= Math.max(places, total);
      }),
      { seed, numRuns: 500 },
    );
  });
});

// Guards against urgent requests that find all places taken by a burst of the least urgent kind, and
// against places that are kept for requests which no longer come.
it('reserves the last places while more urgent requests come', () => {
  const reserve = createUrgentReserve();
  reserve.record(2, 0);
  const alone = reserve.compute(2, 100, 0);
  reserve.record(0, 10);
  reserve.record(1, 10);
  expect([
    alone,
    ...[0, 1, 2].map((urgency) => reserve.compute(urgency, 100, 20)),
    reserve.compute(2, 100, 4_000),
  ]).toEqual([0, 0, 0, 5, 0]);
});
