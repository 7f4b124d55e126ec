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
  table.receive(info, { loads: {}, outcomes: {}, crashes });
  table.updateRemote('hub', [], { loads: {}, outcomes: {}, crashes });
  time.now += 500;
  const expected = { part: { c1: { ageMs: 600, clearedAgeMs: 520 } } };
  expect([table.sumDirect().crashes, table.sumWithout('b' as DaemonId).crashes]).toEqual([
    expected,
    expected,
  ]);
});
