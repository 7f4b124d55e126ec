import { judgeRollout, type RolloutCounts, type RouteCounts } from '@vanillarelay/routing';
import { describe, expect, it } from 'vitest';

const durationMs = 12_000;
const lateMs = 9_000;

interface Sides {
  old?: [good: number, bad: number];
  fresh?: [good: number, bad: number];
  recentOld?: [good: number, bad: number];
  recent?: [good: number, bad: number];
  endpoints?: Record<string, [good: number, bad: number]>;
}

/** Counts of one route; old answers came with the odds of a canary. */
function buildRoute({
  old = [0, 0],
  fresh = [0, 0],
  recentOld = [0, 0],
  recent = [0, 0],
  endpoints = {},
}: Sides): RouteCounts {
  const weight = 0.03;
  return {
    ...{ old: [...old, ...recentOld], new: [...fresh, ...recent] },
    matched: [old[0] * weight, old[1] * weight, (old[0] + old[1]) * weight ** 2],
    endpoints: Object.fromEntries(
      Object.entries(endpoints).map(([id, counts]) => [id, [...counts, 0, 0]]),
    ),
  };
}

function judge(routes: Record<string, Sides>, places: Record<string, string> = {}) {
  const counts: RolloutCounts = {
    routes: Object.fromEntries(
      Object.entries(routes).map(([name, sides]) => [name, buildRoute(sides)]),
    ),
    endpoints: Object.entries(places).map(([id, dataCentre]) => ({
      ...{ id: id as never, dataCentre: dataCentre as never },
    })),
  };
  return judgeRollout(counts, lateMs, durationMs);
}

const three = { n1: 'north', n2: 'south', n3: 'east' };

describe('a version is rolled back', () => {
  // Guards against a bad version that is found only by the number of all its answers.
  it('for a share of bad answers clearly above the old side', () => {
    const verdict = judge({ chat: { old: [500, 5], fresh: [6, 8] } });
    expect(verdict).toMatchObject({ outcome: 'rolledBack', good: 6, bad: 8 });
  });

  // Guards against a fault of one route that disappears among the good answers of the others.
  it('for one route', () => {
    const verdict = judge({
      chat: { old: [900, 9], fresh: [120, 1] },
      lookup: { old: [200, 2], fresh: [8, 8] },
    });
    expect(verdict).toMatchObject({ outcome: 'rolledBack', route: 'lookup' });
  });

  // Guards against a version that turns bad after so many good answers that its total stays low.
  it('for its recent answers', () => {
    const verdict = judge({
      chat: {
        ...{ old: [900, 9], fresh: [400, 12] },
        ...{ recentOld: [150, 2], recent: [4, 10] },
      },
    });
    expect(verdict).toMatchObject({ outcome: 'rolledBack', isRecent: true, bad: 10 });
  });

  // Guards against a single endpoint that is taken for an exception among sound ones.
  it('for its only endpoint', () => {
    const verdict = judge(
      { chat: { old: [500, 5], fresh: [6, 8], endpoints: { n1: [6, 8] } } },
      { n1: 'north' },
    );
    expect(verdict.outcome).toBe('rolledBack');
  });

  it('for several endpoints that are bad alike', () => {
    const endpoints: Sides['endpoints'] = { n1: [6, 5], n2: [6, 5], n3: [6, 5] };
    const verdict = judge({ chat: { old: [500, 5], fresh: [18, 15], endpoints } }, three);
    expect(verdict.outcome).toBe('rolledBack');
  });
});

describe('nothing is decided', () => {
  // Guards against a verdict by chance.
  it('by a few answers', () => {
    const undecided = [
      { fresh: [0, 3] as const },
      { fresh: [20, 0] as const },
      { fresh: [60, 4] as const },
    ].map(({ fresh }) => judge({ chat: { old: [500, 5], fresh: [...fresh] } }).outcome);
    expect(undecided).toEqual([undefined, undefined, undefined]);
  });

  // Guards against a verdict by an old side of which nearly nothing is known.
  it('by bad answers when the old side has hardly any', () => {
    expect(judge({ chat: { old: [2, 0], fresh: [12, 5] } }).outcome).toBeUndefined();
  });

  // Guards against a version that is blamed for a lost zone, a full service or corrupted answers.
  it('by a fault that the old side has too', () => {
    const verdict = judge({ chat: { old: [300, 150], fresh: [40, 24] } });
    expect(verdict.outcome).toBeUndefined();
  });

  // Guards against a version that is blamed for one of its endpoints or one data centre.
  it.each([
    ['endpoint', { n1: [0, 20], n2: [30, 0], n3: [30, 0] }, three],
    [
      'data centre',
      { n1: [0, 10], n2: [0, 10], n3: [60, 0] },
      { ...three, n2: 'north', n4: 'east' },
    ],
  ] as const)('against a version by one %s', (_, endpoints, places) => {
    const counts = structuredClone(endpoints) as unknown as Sides['endpoints'];
    const verdict = judge(
      { chat: { old: [500, 5], fresh: [60, 20], endpoints: counts ?? {} } },
      places,
    );
    expect(verdict.outcome).not.toBe('rolledBack');
  });

  // Guards against an end without an answer of a route that the version will serve.
  it('for a version with no answers on a usual route', () => {
    const verdict = judge({
      chat: { old: [600, 3], fresh: [90, 0], recent: [30, 0] },
      lookup: { old: [300, 3] },
    });
    expect(verdict).toMatchObject({ isSound: true });
    expect(verdict.outcome).toBeUndefined();
  });
});

// Guards against a good version that never ends, also with one bad endpoint among its sound ones.
it('completes a good version', () => {
  const good = judge({ chat: { old: [600, 6], fresh: [60, 1] } });
  const endpoints: Sides['endpoints'] = { n1: [0, 12], n2: [40, 0], n3: [40, 0] };
  const oneBad = judge({ chat: { old: [600, 6], fresh: [80, 12], endpoints } }, three);
  expect([good.outcome, oneBad.outcome]).toEqual(['completed', 'completed']);
});

// Guards against an end before a version that turns bad later could be seen.
it('completes nothing in the first half', () => {
  const routes = { chat: buildRoute({ old: [600, 6], fresh: [60, 0] }) };
  expect(judgeRollout({ routes, endpoints: [] }, 3_000, durationMs).outcome).toBeUndefined();
});
