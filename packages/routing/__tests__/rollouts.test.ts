import { createHash, type Hash } from '@vanillarelay/core';
import fc from 'fast-check';
import { beforeAll, describe, expect, it } from 'vitest';
import { createRandom } from './create-random.js';
import { simulateRollout, type RolloutKind } from './simulate-rollout.js';

let hash: Hash;
beforeAll(async () => {
  hash = await createHash();
});

const seed = 20_261_206;
/** Roll-outs of each kind; the long form is run by hand with `ROLLOUTS=1000`. */
const rolloutCount = Number(process.env.ROLLOUTS ?? 6);
const isLong = rolloutCount >= 100;
const msPerRollout = 2_000;
const kinds: RolloutKind[] = [
  ...(['good', 'zoneFails', 'oneBadEndpoint', 'badAtOnce', 'badLater'] as const),
  ...(['badUnderLoad', 'badOnRoute', 'slow'] as const),
];
const soundKinds = new Set<RolloutKind>(['good', 'zoneFails', 'oneBadEndpoint']);
const durationMs = 12_000;
/** Time of two exchanges and their messages, in which a bad answer becomes known to another router. */
const messageMs = 700;

/** Lets the test runner receive messages within a long run. */
const yieldTurn = () =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

describe('the verdict on a roll-out', () => {
  // Guards against a sound version that is rolled back, and a bad one that is completed or found late.
  it.each(kinds)(
    'is right for %s',
    async (kind) => {
      const counts = { completed: 0, rolledBack: 0, inProgress: 0, late: 0, foundLate: 0 };
      const isSound = soundKinds.has(kind);
      for (let index = 0; index < rolloutCount; index += 1) {
        const random = createRandom(seed + index * 7_919);
        const result = simulateRollout({
          ...{ hash, random, kind, routerCount: 14, durationMs },
          requestsPerS: 60 + random() * 140,
          totalMs: durationMs + 8_000,
          ...{ exposeShare: 0.1, exposeSlack: 50, lossRate: 0.05 },
          ...{ restartRate: 0.1, freezeRate: 0.1 },
        });
        await yieldTurn();
        counts[result.outcome ?? 'inProgress'] += 1;
        if ((result.endedMs ?? Infinity) > durationMs) counts.late += 1;
        if (!isSound && result.countBadBefore(messageMs) > 50) counts.foundLate += 1;
        expect(result.worstExcess).toBeLessThanOrEqual(0);
      }
      if (isLong) process.stdout.write(`${kind} ${JSON.stringify(counts)}\n`);
      const allowed = Math.floor(rolloutCount / 100);
      expect(isSound ? counts.rolledBack : counts.completed).toBeLessThanOrEqual(allowed);
      expect(counts.foundLate).toBeLessThanOrEqual(allowed);
    },
    rolloutCount * msPerRollout + 20_000,
  );
});

// Guards against quotas that together exceed the bound, when routers restart, stop for a while, lose
// exchanges or know only some of the others.
it('sends no more to a new version than the bound over all routers', () => {
  const share = (max: number) => fc.double({ min: 0, max, noNaN: true });
  fc.assert(
    fc.property(
      fc.record({
        kind: fc.constantFrom(...kinds),
        routerCount: fc.integer({ min: 3, max: 20 }),
        requestsPerS: fc.integer({ min: 20, max: 300 }),
        durationMs: fc.integer({ min: 1_500, max: 4_000 }),
        exposeShare: fc.double({ min: 0.01, max: 0.5, noNaN: true }),
        exposeSlack: fc.integer({ min: 0, max: 100 }),
        lossRate: share(0.7),
        restartRate: share(1),
        freezeRate: share(1),
        randomSeed: fc.nat(),
      }),
      ({ randomSeed, ...options }) => {
        const random = createRandom(randomSeed);
        const totalMs = options.durationMs + 2_500;
        return simulateRollout({ ...options, hash, random, totalMs }).worstExcess <= 0;
      },
    ),
    { seed, numRuns: isLong ? 1_000 : 40 },
  );
}, 600_000);
