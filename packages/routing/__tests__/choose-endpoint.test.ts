import { createHash, type EndpointId, type Hash } from '@vanillarelay/core';
import { chooseCacheSource, chooseEndpoint, type Candidate } from '@vanillarelay/routing';
import { createSeededRandom } from '@vanillarelay/scenarios';
import { beforeAll, describe, expect, it } from 'vitest';

const seedStep = 0.754_877_666;
const ids = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7', 'e8'] as EndpointId[];

let hash: Hash;
beforeAll(async () => {
  hash = await createHash();
});

function createDraws() {
  let last = 0.5;
  return () => {
    last = (last + seedStep) % 1;
    return last;
  };
}

interface Replay {
  requests: number;
  /** Requests after which routers learn the loads. */
  lag: number;
  doubted?: string[];
  keys?: number;
}

/** Places requests whose loads every router knows only every `lag` requests; none ends. */
function replay({ requests, lag, doubted = [], keys = 40 }: Replay) {
  const loads = new Map(ids.map((id) => [id, 0]));
  let known = new Map(loads);
  const random = createDraws();
  const reasons: Record<string, number> = {};
  for (let request = 0; request < requests; request += 1) {
    if (request % lag === 0) known = new Map(loads);
    const seen = known;
    const candidates: Candidate[] = ids.map((id) => ({
      ...{ id, dataCentre: 'dc' as never, slots: 128, load: seen.get(id) ?? 0 },
      ...(doubted.includes(id) ? { doubt: 'failing' as const } : {}),
    }));
    const mean = [...known.values()].reduce((sum, load) => sum + load, 0) / ids.length;
    const affinityKey = `prompt ${request % 5 === 0 ? 0 : request % keys}`;
    const placement = chooseEndpoint(
      candidates,
      { affinityKey, mean, tried: new Set() },
      { hash, random, dataCentre: 'dc' as never },
    );
    if (!placement) throw new Error('nothing was chosen');
    loads.set(placement.id, (loads.get(placement.id) ?? 0) + 1);
    reasons[placement.reason] = (reasons[placement.reason] ?? 0) + 1;
  }
  const mean = requests / ids.length;
  return { busiest: Math.max(...loads.values()) / mean, loads, reasons };
}

describe('placement of prompts', () => {
  // Guards against a popular prompt that loads its home above twice the mean, also with late figures.
  it.each([1, 10, 20])('keeps the busiest below twice the mean, figures %i requests old', (lag) => {
    const { busiest } = replay({ requests: 400, lag });
    expect(busiest).toBeLessThan(2);
  });

  // Guards against prompts that leave their home while it has room, and are read again elsewhere.
  it('sends most requests home', () => {
    const { reasons } = replay({ requests: 400, lag: 10 });
    expect((reasons.home ?? 0) / 400).toBeGreaterThan(0.75);
  });

  // Guards against a prompt that goes to and fro as loads rise and fall, and is read at each endpoint.
  it('keeps each prompt at few endpoints while many share the load', () => {
    const random = createSeededRandom(1);
    const open = ids.slice(0, 5);
    const loads = new Map(open.map((id) => [id, 0]));
    const running: EndpointId[] = [];
    const readers = new Map<string, Set<EndpointId>>();
    for (let request = 0; request < 2_000; request += 1) {
      // Few prompts have most of the requests.
      const affinityKey = `prompt ${Math.floor(random() ** 3 * 100)}`;
      const mean = running.length / ids.length;
      const candidates = open.map((id) => ({
        ...{ id, dataCentre: 'dc' as never, slots: 128, load: loads.get(id) ?? 0 },
      }));
      const placement = chooseEndpoint(
        candidates,
        { affinityKey, mean, tried: new Set() },
        { hash, random, dataCentre: 'dc' as never },
      );
      if (!placement) throw new Error('nothing was chosen');
      readers.set(affinityKey, (readers.get(affinityKey) ?? new Set()).add(placement.id));
      loads.set(placement.id, (loads.get(placement.id) ?? 0) + 1);
      running.push(placement.id);
      const ended = running.length > 40 ? running.shift() : undefined;
      if (ended) loads.set(ended, (loads.get(ended) ?? 0) - 1);
    }
    const reads = [...readers.values()].reduce((sum, { size }) => sum + size, 0);
    expect(reads / readers.size).toBeLessThan(1.75);
  });

  // Guards against the load of a day on which 6 of 8 engines were doubted and two held everything.
  it('spreads the work over doubted endpoints before it piles up on the sound ones', () => {
    const { loads } = replay({ requests: 200, lag: 10, doubted: ids.slice(2) });
    const sound = (loads.get('e1' as EndpointId) ?? 0) + (loads.get('e2' as EndpointId) ?? 0);
    expect(sound / 200).toBeLessThan(0.55);
  });

  it('gives a doubted endpoint nothing while the sound ones are light', () => {
    const { loads } = replay({ requests: 3, lag: 1, doubted: ['e1'] });
    expect(loads.get('e1' as EndpointId)).toBe(0);
  });
});

describe('source of a cached prompt', () => {
  const holders = ids.map((id) => ({ id, isYoung: false }));
  const findHome = (key: string, among = ids): EndpointId => {
    const placement = chooseEndpoint(
      among.map((id) => ({ id, dataCentre: 'dc' as never, slots: 8, load: 0 })),
      { affinityKey: key, mean: 0, tried: new Set() },
      { hash, random: () => 0, dataCentre: 'dc' as never },
    );
    return placement?.id ?? ('' as EndpointId);
  };

  // Guards against copying what the home itself holds.
  it('is nowhere for a request at its home', () => {
    expect(chooseCacheSource(holders, 'p', findHome('p'), hash)).toBeUndefined();
  });

  // Guards against reading a prompt again at an endpoint that its home overflowed to.
  it('is the home for a request elsewhere', () => {
    const home = findHome('p');
    const other = ids.find((id) => id !== home) ?? home;
    expect(chooseCacheSource(holders, 'p', other, hash)).toBe(home);
  });

  // Guards against reading all prompts of a new endpoint again.
  it('is the former home when the home has just joined', () => {
    const home = findHome('p');
    const former = findHome(
      'p',
      ids.filter((id) => id !== home),
    );
    const young = holders.map(({ id }) => ({ id, isYoung: id === home }));
    expect(chooseCacheSource(young, 'p', home, hash)).toBe(former);
  });
});
