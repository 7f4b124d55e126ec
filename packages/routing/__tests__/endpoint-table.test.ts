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

// Guards against another writer that moves an endpoint to a different address or service.
it('leaves out a record that contradicts the incarnation it names', () => {
  const { table, build } = createTable();
  table.merge(build());
  table.merge(build({ sequence: 2, address: '10.0.0.9:80' }));
  table.merge(build({ sequence: 3, service: 'other' as never }));
  table.merge(build({ sequence: 2 ** 50 }));
  expect(table.find('e1' as EndpointId)?.record).toEqual(build());
});

// Guards against an endpoint that loses its address for good to a record of another writer.
it('keeps both endpoints at an address when the earlier one goes on announcing itself', () => {
  const { table, build, readState } = createTable();
  const claim = build({ id: 'e2' as EndpointId, bornAt: 300 });
  table.merge(build());
  table.merge(claim);
  const lost = readState('e1');
  table.merge(build({ sequence: 2 }));
  const late = readState('e1');
  table.merge(build({ sequence: 3 }));
  table.merge({ ...claim, sequence: 2, isSilent: true });
  expect([lost, late, readState('e1'), readState('e2')]).toEqual([
    ...['gone', 'gone', 'ready', 'ready'],
  ]);
});

// Guards against daemons that disagree, for good, on which endpoints are at an address.
it.each(['in order', 'reversed'])(
  'agrees with another table on a contested address, %s',
  (order) => {
    const { table, build } = createTable();
    const other = createTable();
    const claim = build({ id: 'e2' as EndpointId, bornAt: 300 });
    [build(), claim, build({ sequence: 2 }), build({ sequence: 3 })].forEach((record) =>
      table.merge(record),
    );
    const { records } = table.listChanges(0);
    const sent = order === 'reversed' ? records.reverse() : records;
    sent.forEach((record) => other.table.merge(record));
    const states = ['e1', 'e2'].map((id) => other.readState(id));
    expect(states).toEqual(['ready', 'ready']);
  },
);

// Guards against routers that keep the version of an endpoint which announced another one.
it('counts a changed version as a change', () => {
  const { table, build } = createTable();
  table.merge(build({ version: 'v1' }));
  const isRepeatChange = table.merge(build({ sequence: 2, version: 'v1' }));
  const isVersionChange = table.merge(build({ sequence: 3, version: 'v2' }));
  expect([isRepeatChange, isVersionChange, table.find('e1' as EndpointId)?.record.version]).toEqual(
    [false, true, 'v2'],
  );
});

// Guards against an endpoint that loses its version when a daemon of an earlier version relays it.
it('keeps the version of an incarnation that a later record does not name', () => {
  const { table, build } = createTable();
  const readVersion = () => table.find('e1' as EndpointId)?.record.version;
  table.merge(build({ version: 'v1' }));
  table.merge(build({ sequence: 2 }));
  const kept = readVersion();
  table.merge(build({ bornAt: 200 }));
  expect([kept, readVersion()]).toEqual(['v1', undefined]);
});
