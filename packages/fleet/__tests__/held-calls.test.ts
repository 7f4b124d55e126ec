import { createVirtualClock } from '@vanillarelay/scenarios';
import { describe, expect, it } from 'vitest';
import { createGrowingTime } from '../src/sync/create-growing-time.js';
import { createHeldCalls } from '../src/sync/create-held-calls.js';
import { createHubSearch } from '../src/sync/create-hub-search.js';

describe('held calls', () => {
  const createFixture = () => {
    const virtual = createVirtualClock();
    let isReady = false;
    let checks = 0;
    const canAnswer = () => {
      checks += 1;
      return isReady;
    };
    const held = createHeldCalls({ clock: virtual.clock, canAnswer });
    const ends: number[] = [];
    return {
      ...{ virtual, ends },
      wait: (ms: unknown) => {
        void held.wait(ms).then(() => ends.push(virtual.clock.monotonic()));
      },
      setReady: () => {
        isReady = true;
      },
      countChecks: () => checks,
    };
  };

  // Guards against askers that have to come back, and against a check for each of them.
  it('end together soon after they can be answered, with one timer for all', async () => {
    const { wait, setReady, virtual, ends, countChecks } = createFixture();
    for (let i = 0; i < 570; i += 1) wait(400);
    await virtual.run(95);
    expect(ends).toEqual([]);
    expect(countChecks()).toBeLessThan(570 + 10);
    setReady();
    await virtual.run(5);
    expect(new Set(ends)).toEqual(new Set([100]));
    expect(ends).toHaveLength(570);
    const before = countChecks();
    await virtual.run(1_000);
    expect(countChecks()).toBe(before);
  });

  // Guards against calls that are held longer than asked for, or by odd messages.
  it('end after their time, and at once when they name none', async () => {
    const { wait, virtual, ends } = createFixture();
    [50, 1e9, undefined, 0, -1, NaN, '80'].forEach(wait);
    await virtual.run(1_000);
    expect(ends).toEqual([0, 0, 0, 0, 0, 50, 500]);
  });
});

// Guards against repeats that come at a fixed rate from all daemons at the same time.
it('times grow up to their limit, are spread and start anew', () => {
  const plain = createGrowingTime({ minMs: 20, maxMs: 100 });
  const times = Array.from({ length: 5 }, plain.take);
  plain.reset();
  expect([...times, plain.take()]).toEqual([20, 40, 80, 100, 100, 20]);
  const spread = [0, 0.999].map((value) =>
    createGrowingTime({ minMs: 20, maxMs: 100, random: () => value }).take(),
  );
  expect(spread.map(Math.round)).toEqual([10, 30]);
});

describe('the search for the hubs', () => {
  // Guards against a peer without power that delays the others, and against a flood of questions.
  it('asks each peer on its own, with one question at a time, until it is stopped', async () => {
    const { clock, run } = createVirtualClock();
    const open = new Map<string, number>();
    const counts: Record<string, number> = { dark: 0, fast: 0 };
    const search = createHubSearch({
      ...{ clock, random: () => 0.5, listPeers: () => ['dark', 'fast'] },
      ask: async (peer, timeoutMs) => {
        counts[peer] = (counts[peer] ?? 0) + 1;
        open.set(peer, (open.get(peer) ?? 0) + 1);
        expect(open.get(peer)).toBe(1);
        await clock.wait(peer === 'dark' ? timeoutMs : 1);
        open.set(peer, 0);
      },
    });
    for (let ms = 0; ms < 1_000; ms += 20) {
      search.start();
      await run(20);
    }
    expect(counts).toEqual({ dark: 3, fast: 14 });
    search.stop();
    await run(5_000);
    expect(counts).toEqual({ dark: 3, fast: 14 });
  });
});
