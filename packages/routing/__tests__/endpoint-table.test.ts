import type { EndpointId } from '@vanillarelay/core';
import { createEndpointTable, type EndpointRecord } from '@vanillarelay/routing';
import { expect, it } from 'vitest';

function createTable() {
  const time = { now: 0 };
  const table = createEndpointTable({ clock: { monotonic: () => time.now }, silenceMs: 5_000 });
  const build = (change: Partial<EndpointRecord> = {}): EndpointRecord => ({
    ...{ id: 'e1' as EndpointId, bornAt: 100, sequence: 1, service: 'desk' as never },
    ...{ address: '10.0.0.1:80', dataCentre: 'dc' as never, slots: 4 },
    ...{ state: 'ready' as const, coldLeftMs: 0, ...change },
  });
  const readState = (id = 'e1') => table.find(id as EndpointId)?.record.state;
  return { time, table, build, readState };
}

// Guards against a delayed announcement that re-adds a departed endpoint.
it('keeps an endpoint gone until its next incarnation', () => {
  const { table, build, readState } = createTable();
  table.merge(build());
  table.remove('e1' as EndpointId);
  table.merge(build({ sequence: 9 }));
  const late = readState();
  table.merge(build({ bornAt: 200, sequence: 1 }));
  expect([late, readState()]).toEqual(['gone', 'ready']);
});

// Guards against announcements that arrive out of order.
it('ignores an older announcement', () => {
  const { table, build, readState } = createTable();
  table.merge(build({ sequence: 5, state: 'leaving' }));
  table.merge(build({ sequence: 4 }));
  expect(readState()).toBe('leaving');
});

// Guards against sending to a crashed endpoint whose address was reassigned to another one.
it('assigns an address to the endpoint that started last', () => {
  const { table, build, readState } = createTable();
  table.merge(build());
  table.merge(build({ id: 'e2' as EndpointId, bornAt: 300 }));
  const isOlderTaken = table.merge(build({ sequence: 7 }));
  expect([readState('e1'), readState('e2'), isOlderTaken]).toEqual(['gone', 'ready', false]);
});

// Guards against missing that an endpoint becomes cold again while it runs.
it('applies a new cold time from an announcement', () => {
  const { time, table, build } = createTable();
  table.merge(build());
  time.now = 10_000;
  table.merge(build({ sequence: 2, coldLeftMs: 3_000 }));
  expect(table.find('e1' as EndpointId)?.coldUntil).toBe(13_000);
});

// Guards against trusting an endpoint whose announcements have stopped, and against removing it.
it('marks an endpoint silent and clears the mark at its next announcement', () => {
  const { time, table, build } = createTable();
  table.merge(build());
  time.now = 6_000;
  table.checkSilence();
  const isSilent = table.find('e1' as EndpointId)?.record.isSilent;
  table.merge(build({ sequence: 2 }));
  expect([isSilent, table.find('e1' as EndpointId)?.record.isSilent]).toEqual([true, undefined]);
});

// Guards against a peer's older record that sets a leaving endpoint ready along with its silence.
it('applies the silence flag of an older record from a peer without its state', () => {
  const { time, table, build, readState } = createTable();
  const readSilent = () => table.find('e1' as EndpointId)?.record.isSilent ?? false;
  table.merge(build({ sequence: 5, state: 'leaving' }));
  table.merge(build({ sequence: 4, isSilent: true }));
  const early = readSilent();
  time.now = 6_000;
  table.merge(build({ sequence: 4, isSilent: true }));
  const silent = readSilent();
  table.merge(build({ sequence: 4 }));
  expect([early, silent, readSilent(), readState()]).toEqual([false, true, false, 'leaving']);
});
