import type { ServiceId } from '@vanillarelay/core';
import type { Rollout } from '@vanillarelay/routing';
import { expect, it } from 'vitest';
import { checkRolloutAges } from '../src/messages/check-rollout-ages.js';
import { createRolloutAges } from '../src/sync/create-rollout-ages.js';

const service = 'desk' as ServiceId;
const wallClock = 1_000_000;

const createAges = () => {
  const time = { now: wallClock, monotonic: 50 };
  const ages = createRolloutAges({ now: () => time.now, monotonic: () => time.monotonic });
  const read = (startIndex = 5) => ages.readAgeMs(service, startIndex);
  return { time, ages, read };
};
const build = (change: Partial<Rollout> = {}): Record<ServiceId, Rollout> => ({
  [service]: {
    ...{ to: 'v2', durationMs: 12_000, state: 'inProgress' as const, startIndex: 5, lastIndex: 5 },
    ...{ startedAt: wallClock, ...change },
  },
});

// Guards against an age that follows the jumps of a wall clock while the hub runs.
it('counts with the monotonic clock from when a start was applied', () => {
  const { time, ages, read } = createAges();
  ages.recordHeld(build({ startedAt: wallClock - 9_000 }), 4);
  time.monotonic += 300;
  time.now += 60_000;
  ages.recordHeld(build({ startedAt: wallClock - 9_000 }), 4);
  expect([read(), read(6), ages.listAges(build())]).toEqual([
    300,
    undefined,
    { [service]: { startIndex: 5, ageMs: 300 } },
  ]);
});

// Guards against a roll-out that begins again, or has a negative age, after a hub was restarted.
it('estimates the age of a start that was read from the disk', () => {
  const { time, ages, read } = createAges();
  ages.recordHeld(build({ startedAt: wallClock - 4_000 }), 5);
  time.monotonic += 100;
  const estimated = read();
  const jumped = createAges();
  jumped.ages.recordHeld(build({ startedAt: wallClock + 4_000 }), 5);
  expect([estimated, jumped.read(), ages.listAges(build())]).toEqual([
    4_100,
    0,
    { [service]: { startIndex: 5, ageMs: 4_100, isEstimated: true } },
  ]);
});

// Guards against an age that goes back, or that one wall clock spoils for hubs that have counted.
it('prefers counted ages to estimated ones, and then the highest', () => {
  const { time, ages, read } = createAges();
  const receive = (ageMs: number, isEstimated = false, startIndex = 5) => {
    ages.receive({ [service]: { startIndex, ageMs, isEstimated } });
    return read();
  };
  const told = [
    receive(8_000, true),
    receive(9_000, true),
    receive(700),
    receive(600),
    receive(60_000, true),
    receive(800),
    receive(60_000, false, 4),
  ];
  time.monotonic += 50;
  expect([...told, read(), receive(10, true, 6), read(6)]).toEqual([
    ...[8_000, 9_000, 700, 700, 700, 800, 800, 850],
    ...[undefined, 10],
  ]);
});

// Guards against ages of ended roll-outs that stay in every message.
it('tells the age of an ended roll-out only for a short time', () => {
  const { time, ages } = createAges();
  ages.recordHeld(build({ state: 'rolledBack' }), 4);
  const before = Object.keys(ages.listAges(build({ state: 'rolledBack' })));
  time.monotonic += 60_000;
  expect([before, ages.listAges(build({ state: 'rolledBack' }))]).toEqual([[service], {}]);
  expect(Object.keys(ages.listAges(build()))).toEqual([service]);
});

// Guards against odd ages of another writer that spoil the ages here.
it.each([
  ['a list', []],
  ['null', null],
  ['text', { desk: { startIndex: 1, ageMs: '5' } }],
  ['a negative age', { desk: { startIndex: 1, ageMs: -1 } }],
  ['no start', { desk: { ageMs: 1 } }],
])('refuses %s', (_, received) => {
  expect(() => checkRolloutAges(received)).toThrow('rolloutAges');
});
