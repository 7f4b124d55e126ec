import { toId, type DaemonId, type DataCentreId } from '@vanillarelay/core';
import { expect, it } from 'vitest';
import { createTestFleet } from './create-test-fleet.js';

const polls = 60;

// Guards against an acknowledgement that waits until the leader has built the replies to all polls.
it('acknowledges a change before it replies to the polls that the change wakes', async () => {
  const fleet = createTestFleet({ seed: 1 });
  fleet.startAll();
  await fleet.virtual.run(8_000);
  await fleet.put('daemon-4', 1);
  const leader = fleet.all.find(
    (id) => fleet.find(id).node.readControlSummary()?.role === 'leader',
  );
  const { handlers, view } = fleet.find(leader ?? '').node;
  const settled: string[] = [];
  const { signal } = new AbortController();
  const callPoll = async (index: number, hubIncarnation: string, cursor: number) => {
    const reply = await handlers.sync(
      {
        from: {
          ...{ id: toId<DaemonId>(`d-${index}`), incarnation: 'i', address: `10.9.0.${index}:1` },
          dataCentre: toId<DataCentreId>('dc-1'),
        },
        ...{ isHub: false, stateIndex: view.state.index, hubIncarnation, cursor },
        ...{ content: { heldHash: view.state.hash }, daemonsVersion: 0, heardCursor: 0 },
        observations: { loads: {}, outcomes: {}, crashes: {}, rates: {}, notices: {}, work: {} },
        ...{ heard: [], waitMs: 200 },
      },
      signal,
    );
    settled.push('poll');
    return reply;
  };
  const first = await fleet.virtual.runUntil(callPoll(0, '', 0));
  settled.length = 0;
  const { hubIncarnation, cursor } = first;
  const waiting = Array.from({ length: polls }, (_, i) => callPoll(i, hubIncarnation, cursor));
  await fleet.virtual.run(1);
  const order = fleet.find(leader ?? '').node.propose({
    type: 'putConfig',
    ...{ version: 2, source: 'config 2' },
  });
  void order.then(() => settled.push('order'));
  await fleet.virtual.runUntil(Promise.all([...waiting, order]));
  expect(settled.indexOf('order')).toBe(0);
  expect(settled).toHaveLength(polls + 1);
});
