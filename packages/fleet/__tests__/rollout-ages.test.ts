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
  const read = (startIndex = 5) => ages.readAgeMs(startIndex);
  return { time, ages, read };
};
const build = (change: Partial<Rollout> = {}) => {
  const rollout: Rollout = {
    ...{ to: 'v2', durationMs: 12_000, state: 'inProgress', startIndex: 5, lastIndex: 5 },
    ...{ startedAt: wallClock, ...change },
  };
  const { to, startIndex, startedAt } = rollout;
  const starts = [
    { to, startIndex, startedAt },
    { to: 'v1', startIndex: 2, startedAt: startedAt - 2_000 },
  ];
  return { rollouts: { [service]: rollout }, rolloutStarts: { [service]: starts } };
};

// Guards against an age that follows the jumps of a wall clock while the hub runs.
it('counts with the monotonic clock from when a start was applied', () => {
  const { time, ages, read } = createAges();
  ages.recordHeld(build({ startedAt: wallClock - 9_000 }), 200);
  time.monotonic += 300;
  time.now += 60_000;
  ages.recordHeld(build({ startedAt: wallClock - 9_000 }), 200);
  expect([read(), read(6), ages.listAges(build())]).toEqual([
    300,
    undefined,
    [
      { startIndex: 5, ageMs: 300 },
      { startIndex: 2, ageMs: 300 },
    ],
  ]);
});

// Guards against a roll-out that begins again, or has a negative age, after a hub was restarted, or
// that begins late at a hub that was cut off.
it('estimates the age of a start that may have been committed long before', () => {
  const { time, ages, read } = createAges();
  ages.recordHeld(build({ startedAt: wallClock - 4_000 }), Infinity);
  time.monotonic += 100;
  const estimated = [read(), read(2)];
  const ahead = createAges();
  ahead.ages.recordHeld(build({ startedAt: wallClock + 4_000 }), Infinity);
  const cutOff = createAges();
  cutOff.ages.recordHeld(build({ startedAt: wallClock - 60_000 }), 3_000);
  expect([estimated, ahead.read(), cutOff.read()]).toEqual([[4_100, 6_100], 0, 3_000]);
  expect(ages.listAges(build())[0]).toEqual({ startIndex: 5, ageMs: 4_100, isEstimated: true });
});

// Guards against an age that goes back, or that one wall clock spoils for hubs that have counted.
it('prefers counted ages to estimated ones, and then the highest', () => {
  const { time, ages, read } = createAges();
  const receive = (ageMs: number, isEstimated = false, startIndex = 5) => {
    ages.receive([{ startIndex, ageMs, isEstimated }]);
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
  expect([...told, read(), read(4)]).toEqual([
    ...[8_000, 9_000, 700, 700, 700, 800, 800],
    ...[850, 60_050],
  ]);
});

// Guards against ages of ended roll-outs that stay in every message.
it('tells the age of an ended roll-out only for a short time', () => {
  const { time, ages } = createAges();
  const listIndexes = (state: Rollout['state']) =>
    ages.listAges(build({ state })).map(({ startIndex }) => startIndex);
  ages.recordHeld(build(), 200);
  const before = listIndexes('rolledBack');
  time.monotonic += 60_000;
  expect([before, listIndexes('rolledBack'), listIndexes('inProgress')]).toEqual([[5, 2], [], [5]]);
});

// Guards against a repeated order that starts a roll-out again because wall clocks differ.
it('counts a start as recent for longer when its age is estimated', () => {
  const { ages } = createAges();
  ages.receive([
    { startIndex: 1, ageMs: 9_000 },
    { startIndex: 2, ageMs: 9_000, isEstimated: true },
    { startIndex: 3, ageMs: 90_000, isEstimated: true },
  ]);
  const listRecent = (ms: number) => [1, 2, 3, 4].filter((index) => ages.isRecent(index, ms));
  expect([listRecent(7_000), listRecent(9_000)]).toEqual([[2], [1, 2]]);
});

// Guards against odd ages of another writer that spoil the ages here.
it.each([
  ['an object', {}],
  ['null', null],
  ['a list of other things', [null]],
  ['text', [{ startIndex: 1, ageMs: '5' }]],
  ['a negative age', [{ startIndex: 1, ageMs: -1 }]],
  ['no start', [{ ageMs: 1 }]],
])('refuses %s', (_, received) => {
  expect(() => checkRolloutAges(received)).toThrow('rolloutAges');
});
