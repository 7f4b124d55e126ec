import { describe, expect, it } from 'vitest';
import { replayPrompts } from './replay-prompts.js';

type Pattern = Omit<Parameters<typeof replayPrompts>[0], 'by' | 'seed'>;

const seeds = [1, 2, 3, 4, 5, 6];

/** Replays the same requests placed by load and by expected cost; adds the misses over all seeds. */
async function compareMisses(pattern: Pattern): Promise<{ load: number; cost: number }> {
  const count = async (by: 'load' | 'cost') => {
    const replays = await Promise.all(seeds.map((seed) => replayPrompts({ by, seed, ...pattern })));
    return replays.reduce((sum, { missed }) => sum + missed, 0);
  };
  return { load: await count('load'), cost: await count('cost') };
}

const isThirdSlow = (engine: number): number => (engine % 3 === 0 ? 1.3 : 1);

describe('first events that miss their objective are fewer than with a choice by load', () => {
  // Guards against prompts that wait behind long ones while other engines have little to read.
  it('when one router begins with empty caches', async () => {
    const { load, cost } = await compareMisses({ routers: 1 });
    expect(cost).toBeLessThan(0.5 * load);
  });

  // Guards against routers that read each prompt at several engines, as each sees it as new.
  it('when 36 routers begin with empty caches', async () => {
    const { load, cost } = await compareMisses({});
    expect(cost).toBeLessThan(load);
  });

  // Guards against a third of the engines that are slower all the time, and others for a while.
  it('when engines are uneven', async () => {
    const readFactor = (engine: number, now: number): number =>
      isThirdSlow(engine) * ((engine * 7 + Math.floor(now / 400)) % 10 === 0 ? 2.5 : 1);
    const { load, cost } = await compareMisses({ readFactor, requestsPerS: 180, skew: 1 });
    expect(cost).toBeLessThan(load);
  });

  // Guards against an engine at a third of the speed that gets its full share of the prompts.
  it('when one engine has a third of the speed', async () => {
    const readFactor = (engine: number): number => (engine === 4 ? 3 : 1);
    const { load, cost } = await compareMisses({ readFactor, durationMs: 12_000 });
    expect(cost).toBeLessThan(load);
  });

  // Guards against a choice that follows each report of an engine whose speed changes at once.
  it('when one engine changes its speed ten times a second', async () => {
    const readFactor = (engine: number, now: number): number =>
      engine === 4 && Math.floor(now / 100) % 2 === 1 ? 2.5 : 1;
    const { load, cost } = await compareMisses({ readFactor, durationMs: 12_000 });
    expect(cost).toBeLessThan(load);
  });

  // Guards against a prompt with a third of all requests, which would be queued at its home.
  it('when one prompt is hot', async () => {
    const { load, cost } = await compareMisses({ hotShare: 0.3, durationMs: 8_000 });
    expect(cost).toBeLessThan(load);
  });

  // Guards against endpoints that draw all work to them, or lose all work, by a wrong report.
  it('when two engines report wrongly', async () => {
    const reports = new Map([
      [4, 50],
      [5, 0.01],
    ]);
    const reportFactor = (engine: number): number => reports.get(engine) ?? 1;
    const { load, cost } = await compareMisses({ reportFactor, durationMs: 12_000 });
    expect(cost).toBeLessThan(1.1 * load);
  });
});

// Guards against prompts that are read again wherever a router sends them first.
it('reads few more tokens than a choice by load', async () => {
  const read = async (by: 'load' | 'cost') => (await replayPrompts({ by })).readTokens;
  expect(await read('cost')).toBeLessThan(1.15 * (await read('load')));
});

// Guards against routers without news that leave homes on what they sent themselves.
it('chooses by load while routers get no news of each other', async () => {
  const replay = (by: 'load' | 'cost') => replayPrompts({ by, newsMs: Infinity });
  expect((await replay('cost')).sends).toEqual((await replay('load')).sends);
});

// Guards against routers that see each other late and all choose the endpoint that looks empty.
it('does not herd on one endpoint when 36 routers get news each second', async () => {
  const { sends } = await replayPrompts({ by: 'cost', newsMs: 1_000, requestsPerS: 600 });
  const counts = new Map<string, number>();
  sends.forEach(({ id, at }) => {
    const key = `${id} ${Math.floor(at / 500)}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  });
  const mean = 600 / 2 / 31;
  expect(Math.max(...counts.values())).toBeLessThan(4 * mean);
});
