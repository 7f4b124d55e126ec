import type { DaemonId } from '@vanillarelay/core';
import { expect, it } from 'vitest';
import type { Observations } from '../src/messages/observations.js';
import { createDaemonTable } from '../src/sync/create-daemon-table.js';

// Guards against crashes that look newer than they are after a hub has kept them for a while.
it('adds the time that a hub kept observations to the ages in them', () => {
  const time = { now: 1_000 };
  const table = createDaemonTable({ monotonic: () => time.now });
  const info = { id: 'a' as DaemonId, incarnation: '1', address: 'x', dataCentre: 'd' as never };
  const crashes: Observations['crashes'] = {
    ['part' as never]: { ['c1' as never]: { ageMs: 100, clearedAgeMs: 20 } },
  };
  const rates: Observations['rates'] = {
    ['e1' as never]: { limitPerS: 5, ageMs: 100, demandPerS: 2 },
  };
  const notices: Observations['notices'] = {
    ['e1' as never]: { bornAt: 1, isLeaving: true, waitMs: 1_200 },
    ['e2' as never]: { bornAt: 1, isLeaving: false, waitMs: 300 },
  };
  table.receive(info, { loads: {}, outcomes: {}, crashes, rates, notices });
  table.updateRemote('hub', [], { loads: {}, outcomes: {}, crashes, rates, notices });
  time.now += 500;
  const expected = { part: { c1: { ageMs: 600, clearedAgeMs: 520 } } };
  const direct = table.sumDirect();
  const all = table.sumWithout('b' as DaemonId);
  expect([direct.crashes, all.crashes]).toEqual([expected, expected]);
  expect(all.notices).toEqual({
    e1: { bornAt: 1, isLeaving: true, waitMs: 700 },
    e2: { bornAt: 1, isLeaving: false, waitMs: 0 },
  });
  expect([direct.rates, all.rates]).toEqual([
    { e1: { limitPerS: 5, ageMs: 600, demandPerS: 2 } },
    { e1: { limitPerS: 5, ageMs: 600, demandPerS: 4 } },
  ]);
});

// Guards against a hub that fails on reports of daemons of an older version during an upgrade.
it('accepts observations without fields that an older version does not know', () => {
  const table = createDaemonTable({ monotonic: () => 0 });
  const info = { id: 'a' as DaemonId, incarnation: '1', address: 'x', dataCentre: 'd' as never };
  table.receive(info, { loads: { ['e1' as never]: 2 }, outcomes: {} });
  expect(table.sumDirect()).toEqual({
    ...{ loads: { e1: 2 }, outcomes: {}, crashes: {}, rates: {}, notices: {}, work: {} },
  });
});

// Guards against hubs that keep listing a daemon where it was before it moved to another hub.
it('gives the list of direct daemons a new version when a daemon arrives that was known', () => {
  const table = createDaemonTable({ monotonic: () => 0 });
  const info = { id: 'a' as DaemonId, incarnation: '1', address: 'x', dataCentre: 'd' as never };
  table.updateRemote('hub', [info], {});
  const before = [table.readVersion('all'), table.readVersion('direct')] as const;
  table.receive(info, {});
  expect(table.readVersion('all')).toBe(before[0]);
  expect(table.readVersion('direct')).toBeGreaterThan(before[1]);
});
