import { createHash, sortByRendezvous, type EndpointId, type Hash } from '@vanillarelay/core';
import type { Candidate } from '@vanillarelay/routing';
import { createSeededRandom } from '@vanillarelay/scenarios';
import {
  chooseByFinish,
  createHomeOrder,
  type Finish,
  type FinishRequest,
} from '@vanillarelay/scheduling';
import { beforeAll, describe, expect, it } from 'vitest';

const ids = Array.from({ length: 8 }, (_, index) => `e${index}` as EndpointId);
const key = 'm prompt';
let hash: Hash;
let order: EndpointId[] = [];
beforeAll(async () => {
  hash = await createHash();
  order = sortByRendezvous(hash, key, ids);
});

interface Costs {
  waitMs?: number;
  readMs?: number;
  heldShare?: number;
}

const rest = { baseMs: 10, writeTokens: 100, uncertainty: 0.2 };

const buildFinish = ({ waitMs = 0, readMs = 0, heldShare = 1 }: Costs): Finish => ({
  estimate: { readTokens: readMs * 50, readMs, heldShare, ...rest },
  ...{ waitMs, factor: 1, ms: 10 + waitMs + readMs },
});

/** Chooses with the costs by position in the order of the prompt; others hold nothing. */
const choose = (
  costs: Costs[],
  change: Partial<FinishRequest> = {},
  changeCandidate: (place: number) => Partial<Candidate> = () => ({}),
) =>
  chooseByFinish(
    ids.map((id) => ({
      ...{ id, dataCentre: 'dc' as never, slots: 64, load: 4 },
      ...changeCandidate(order.indexOf(id)),
    })),
    {
      ...{ affinityKey: key, meanLoad: 4, tried: new Set(), objectiveLeftMs: 400 },
      ...{ triedDataCentres: new Set(), ...change },
    },
    {
      ...{ hash, random: createSeededRandom(1), dataCentre: 'dc' as never },
      order: createHomeOrder({ hash, readWeight: () => 1 }),
      estimateFinish: (id) =>
        buildFinish(costs[order.indexOf(id)] ?? { readMs: 100, heldShare: 0, waitMs: 1_000 }),
    },
  );

const findPlace = (choice: ReturnType<typeof choose>) => [
  choice ? order.indexOf(choice.id) : undefined,
  choice?.reason,
];

describe('the endpoint for a prompt', () => {
  // Guards against a prompt that leaves its home for a gain that no caller notices.
  it('is the home while the request is likely to be in time there', () => {
    expect(findPlace(choose([{ waitMs: 250 }, { readMs: 20, heldShare: 0 }]))).toEqual([0, 'home']);
  });

  // Guards against short prompts that wait behind long ones.
  it('is another one when the home is late and the gain is clear', () => {
    const places = [{ waitMs: 900 }, { waitMs: 800 }, { readMs: 50, heldShare: 0 }];
    expect(findPlace(choose(places))).toEqual([2, 'sooner']);
  });

  // Guards against long prompts that are read at two endpoints for little.
  it('is the home when reading the prompt again costs as much as the wait', () => {
    expect(findPlace(choose([{ waitMs: 500 }, { readMs: 300, heldShare: 0 }]))).toEqual([
      ...[0, 'home'],
    ]);
  });

  // Guards against two requests with one prompt that alternate between two endpoints.
  it('is the one where this router sent the prompt before', () => {
    const places = [{ waitMs: 60, readMs: 100, heldShare: 0 }, { waitMs: 80 }];
    expect(findPlace(choose(places, { keptAt: order[1] as EndpointId }))).toEqual([1, 'kept']);
  });

  // Guards against routers with slightly different views that send a prompt to different endpoints.
  it('is the first in the order that is in time, not the one that is a little sooner', () => {
    const unread = { readMs: 50, heldShare: 0 };
    const places = [{ waitMs: 900 }, { ...unread, waitMs: 60 }, { ...unread, waitMs: 20 }];
    expect(findPlace(choose(places))).toEqual([1, 'sooner']);
  });

  // Guards against short streams that pause while a long prompt is read beside them.
  it('is not one with many streams when there is another', () => {
    const unread = { readMs: 500, heldShare: 0 };
    const places = [{ ...unread, waitMs: 3_000 }, unread, { ...unread, waitMs: 20 }];
    const change = (place: number) => (place === 1 ? { load: 8 } : {});
    expect(findPlace(choose(places, {}, change))).toEqual([2, 'firstRead']);
  });

  // Guards against endpoints loaded beyond the bound because little is unread there.
  it('is none above the bound on the load', () => {
    const places = [{}, { readMs: 10, heldShare: 0 }];
    expect(findPlace(choose(places, {}, (place) => (place === 0 ? { load: 12 } : {})))).toEqual([
      ...[1, 'nextHome'],
    ]);
  });

  // Guards against endpoints with a health issue, limited or tried ones that are chosen as sooner.
  it.each([
    ['with a health issue', { healthIssue: 'failing' as const }],
    ['beyond its share of prompts', { promptShare: 0 }],
  ])('is none %s', (_, issue) => {
    const places = [{ waitMs: 900 }, {}, { readMs: 50, heldShare: 0 }];
    expect(findPlace(choose(places, {}, (place) => (place === 1 ? issue : {})))).toEqual([
      ...[2, 'sooner'],
    ]);
  });

  // Guards against a retry that meets the fault of the first attempt's data centre again.
  it('is one in another data centre than a failed one among equals', () => {
    const unread = { readMs: 50, heldShare: 0 };
    const change = (place: number) => ({ dataCentre: (place === 2 ? 'other' : 'dc') as never });
    const tried = new Set([order[0] as EndpointId]);
    const retry = { tried, triedDataCentres: new Set(['dc' as never]) };
    expect(findPlace(choose([{}, unread, unread], retry, change))[0]).toBe(2);
    const late = { ...unread, waitMs: 600 };
    expect(findPlace(choose([{}, unread, late], retry, change))[0]).toBe(1);
  });
});

describe('the order of a prompt', () => {
  // Guards against prompts that move to other endpoints when a service is switched over.
  it('is that of today with equal weights', () => {
    const homes = createHomeOrder({ hash, readWeight: () => 1 });
    const keys = Array.from({ length: 50 }, (_, index) => `prompt ${index}`);
    expect(keys.map((each) => homes.listFirst(each, ids))).toEqual(
      keys.map((each) => sortByRendezvous(hash, each, ids)),
    );
  });

  // Guards against prompts copied from an endpoint that is not their home.
  it('is that of the source of a cached prompt', () => {
    const readWeight = (id: EndpointId) => (id < 'e3' ? 0.55 : 1);
    const homes = createHomeOrder({ hash, readWeight });
    const keys = Array.from({ length: 50 }, (_, index) => `prompt ${index}`);
    expect(keys.map((each) => homes.listFirst(each, ids))).toEqual(
      keys.map((each) => sortByRendezvous(hash, each, ids, readWeight)),
    );
  });

  // Guards against an endpoint at half the speed that is home to as many prompts as the others.
  it('gives an endpoint homes in proportion to its weight, and moves no other prompt', () => {
    let weight = 1;
    const homes = createHomeOrder({ hash, readWeight: (id) => (id === 'e0' ? weight : 1) });
    const list = () =>
      Array.from({ length: 2_000 }, (_, index) => homes.listFirst(`prompt ${index}`, ids)[0]);
    const before = list();
    weight = 0.5;
    const after = list();
    const moved = before.filter((home, index) => home !== after[index]);
    expect(new Set(moved)).toEqual(new Set(['e0']));
    expect(after.filter((home) => home === 'e0').length / 2_000).toBeCloseTo(0.5 / 7.5, 1);
  });
});

describe('the endpoint for a request without a prompt', () => {
  const chooseMany = (waitMs: (id: EndpointId) => number, change: Partial<FinishRequest> = {}) => {
    const random = createSeededRandom(2);
    return Array.from({ length: 400 }, () =>
      chooseByFinish(
        ids.map((id, index) => ({
          ...{ id, dataCentre: (index < 4 ? 'dc' : 'other') as never, slots: 8, load: 2 },
        })),
        {
          ...{ meanLoad: 2, tried: new Set(), objectiveLeftMs: 200 },
          ...{ triedDataCentres: new Set(), ...change },
        },
        {
          ...{ hash, random, dataCentre: 'dc' as never },
          order: createHomeOrder({ hash, readWeight: () => 1 }),
          estimateFinish: (id) => buildFinish({ waitMs: waitMs(id) }),
        },
      ),
    );
  };
  const count = (choices: ReturnType<typeof chooseMany>) => {
    const counts: Record<string, number> = {};
    choices.forEach((choice) => {
      const id = choice?.id ?? 'none';
      counts[id] = (counts[id] ?? 0) + 1;
    });
    return counts;
  };

  // Guards against a lookup behind a long prompt.
  it('is none with much to read', () => {
    const counts = count(chooseMany((id) => (id === 'e1' ? 300 : 0)));
    expect(Object.keys(counts)).not.toContain('e1');
  });

  // Guards against routers with the same view that all choose one endpoint.
  it('is spread over the endpoints that are nearly equal, in the own data centre', () => {
    const counts = count(chooseMany(() => 0));
    expect(Object.keys(counts).sort()).toEqual(['e0', 'e1', 'e2', 'e3']);
    expect(Math.max(...Object.values(counts))).toBeLessThan(150);
  });

  // Guards against requests that wait in the own data centre while others have nothing to do.
  it('is in another data centre when all in the own one have much to read', () => {
    const counts = count(chooseMany((id) => (id < 'e4' ? 300 : 0)));
    expect(Object.keys(counts).sort()).toEqual(['e4', 'e5', 'e6', 'e7']);
  });
});
