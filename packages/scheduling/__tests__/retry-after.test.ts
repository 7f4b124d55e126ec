import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { computeLatestStart } from '../src/waiting/compute-latest-start.js';
import { computeRetryAfter } from '../src/waiting/compute-retry-after.js';
import { createPlaceRate } from '../src/waiting/create-place-rate.js';
import { createRefusalMemory } from '../src/waiting/create-refusal-memory.js';

describe('the time after which a refused caller returns', () => {
  // Guards against a caller that is told to return when too little of its time is left.
  it('is within a third of the time left, and callers refused together are spread', () => {
    const input = fc.record({
      ahead: fc.nat(500),
      placesPerMs: fc.option(fc.double({ min: 0, max: 1, noNaN: true }), { nil: undefined }),
      roomInMs: fc.constantFrom(0, 80, 5_000, Infinity),
      leftMs: fc.integer({ min: 30, max: 10_000 }),
    });
    fc.assert(
      fc.property(input, (values) => {
        const [first, last] = [0, 0.999].map((draw) =>
          computeRetryAfter({ ...values, random: () => draw }),
        );
        const spreadMs = last! - first!;
        const minSpreadMs = Math.min(100, values.leftMs / 6) * 0.99;
        return first! >= 0 && last! <= values.leftMs / 3 && spreadMs >= minSpreadMs;
      }),
      { seed: 20_261_206 },
    );
  });

  // Guards against callers that all return at once although the queue is long.
  it('grows with what waits and falls with the rate at which places become free', () => {
    const compute = (ahead: number, placesPerMs: number) =>
      computeRetryAfter({ ahead, placesPerMs, leftMs: 6_000, random: () => 0 });
    expect([compute(9, 0.01), compute(19, 0.01), compute(19, 0.02)]).toEqual([750, 1_000, 750]);
  });
});

describe('refused callers', () => {
  // Guards against a caller that loses its place, and against one that keeps it for ever.
  it('are recognised once within the time named and a while', () => {
    const memory = createRefusalMemory();
    memory.record('x', 5, 200, 10);
    memory.record('y', 6, 200, 10);
    expect([memory.take('x', 300), memory.take('x', 300), memory.take('y', 600)]).toEqual([
      ...[5, undefined, undefined],
    ]);
  });

  // Guards against memory that grows with the number of refusals.
  it('are bounded in number', () => {
    const memory = createRefusalMemory();
    for (let index = 0; index < 5_000; index += 1) memory.record(`${index}`, 0, 1_000, index / 10);
    expect([memory.count(500), memory.take('4999', 500), memory.take('0', 500)]).toEqual([
      ...[1_000, 0, undefined],
    ]);
  });
});

// Guards against a rate that is read from a single place, or that stays when nothing becomes free.
it('averages how often places become free', () => {
  const rate = createPlaceRate();
  rate.record(0);
  const early = rate.read(100);
  for (let now = 10; now <= 4_000; now += 10) rate.record(now);
  const steady = rate.read(4_000) ?? 0;
  expect([early, steady > 0.095 && steady < 0.105, (rate.read(14_000) ?? 1) < 0.001]).toEqual([
    ...[undefined, true, true],
  ]);
});

// Guards against a wait that leaves no time for the answer.
it('waits for a part of the target time, longer only for urgent requests that get a place', () => {
  const base = { now: 100, objectiveMs: 200, deadlineAt: 2_100, urgency: 1, expectedMs: 150 };
  expect([
    computeLatestStart(base),
    computeLatestStart({ ...base, urgency: 0 }),
    computeLatestStart({ ...base, urgency: 0, expectedMs: 300 }),
    computeLatestStart({ ...base, urgency: 0, expectedMs: undefined }),
    computeLatestStart({ ...base, deadlineAt: 250 }),
    computeLatestStart({ ...base, deadlineAt: 150 }),
  ]).toEqual([200, 260, 200, 200, 150, 100]);
});
