import { encodeState } from '@vanillarelay/control';
import {
  createControlGroup,
  verifyChanges,
  type ChangeOperation,
  type ControlGroup,
} from '@vanillarelay/scenarios';
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { runOperator } from './run-operator.js';

const seed = 20_261_204;
const ids = ['control-1', 'control-2', 'control-3'];
const actions = [
  'kill',
  'killAll',
  'freeze',
  'cut',
  'slow',
  'duplicate',
  'killLeader',
  'freezeLeader',
] as const;

const schedule = fc.array(
  fc.record({
    afterMs: fc.integer({ min: 10, max: 3_000 }),
    forMs: fc.integer({ min: 50, max: 6_000 }),
    action: fc.constantFrom(...actions),
    node: fc.constantFrom(...ids),
  }),
  { minLength: 3, maxLength: 10 },
);

type Step = (typeof schedule extends fc.Arbitrary<infer T> ? T : never)[number];

const startFault = (group: ControlGroup, { action, node }: Step): (() => void) => {
  const leader = group.findLeader() ?? node;
  const target = action.endsWith('Leader') ? leader : node;
  const peer = ids.find((id) => id !== node) ?? node;
  switch (action) {
    case 'kill':
    case 'killLeader':
      if (!group.isAlive(target)) return () => {};
      group.kill(target);
      return () => !group.isAlive(target) && group.start(target);
    case 'killAll': {
      // A power failure: all nodes lose their unsynced writes at the same moment.
      const killed = ids.filter((id) => group.isAlive(id));
      killed.forEach((id) => group.kill(id));
      return () => killed.filter((id) => !group.isAlive(id)).forEach((id) => group.start(id));
    }
    case 'freeze':
    case 'freezeLeader':
      group.freeze(target);
      return () => group.resume(target);
    case 'cut':
      group.cutOff(target);
      return () => group.clearCuts(target);
    case 'slow':
      group.network.addDelay(node, peer, 300);
      return () => group.network.addDelay(node, peer, 0);
    default:
      group.network.startDuplicates(node, peer);
      return () => {};
  }
};

const runSchedule = async (steps: Step[], groupSeed: number) => {
  const group = createControlGroup({ seed: groupSeed, snapshotBytes: 4_000, syncMs: 10 });
  const operations: ChangeOperation[] = [];
  let isOver = false;
  const operators = ['anna', 'bilal', 'chloé'].map((name) =>
    runOperator(group, name, operations, () => isOver),
  );
  await group.waitForLeader();
  for (const step of steps) {
    await group.virtual.run(step.afterMs);
    const stopFault = startFault(group, step);
    group.virtual.clock.startTimer(step.forMs, stopFault);
  }
  await group.virtual.run(8_000);
  isOver = true;
  await group.virtual.runUntil(Promise.all(operators), 60_000);
  await group.virtual.run(5_000);
  const states = ids.map((id) => [...encodeState(group.readStore(id).readState())].join('\n'));
  const { history } = group.readStore(ids[0] ?? '').readState();
  return { operations, history, states, failures: ids.map((id) => group.readFailure(id)) };
};

// Guards against lost or reordered changes under any mix of kills, freezes, network cuts, delays
// and duplicate messages.
it('keeps configuration changes linearizable under random faults', async () => {
  let accepted = 0;
  let refused = 0;
  await fc.assert(
    fc.asyncProperty(schedule, fc.integer({ min: 1, max: 1_000_000 }), async (steps, groupSeed) => {
      const { operations, history, states, failures } = await runSchedule(steps, groupSeed);
      expect(failures).toEqual([undefined, undefined, undefined]);
      expect(new Set(states).size).toBe(1);
      expect(verifyChanges(operations, history)).toEqual([]);
      accepted += history.length;
      refused += operations.filter(({ outcome }) => outcome === 'conflict').length;
    }),
    { seed, numRuns: Number(process.env.SCHEDULES ?? 20) },
  );
  expect(accepted).toBeGreaterThan(500);
  expect(refused).toBeGreaterThan(500);
}, 600_000);

// Guards against a checker that accepts everything.
it('finds violations in histories that are wrong', () => {
  const change = (
    changeId: string,
    expectedVersion: number,
    sentAt: number,
    answeredAt: number,
    outcome: ChangeOperation['outcome'],
    version: number,
  ) => ({ changeId, expectedVersion, sentAt, answeredAt, outcome, version });
  const a = change('a', 0, 0, 10, 'accepted', 1);
  const b = change('b', 1, 20, 30, 'accepted', 2);
  const final = (...names: string[]) =>
    names.map((changeId, position) => ({ changeId, configVersion: position + 1 }));
  expect(verifyChanges([a, b], final('a', 'b'))).toEqual([]);
  expect({
    lost: verifyChanges([a, b], final('a')),
    swapped: verifyChanges([a, b], final('b', 'a')),
    refused: verifyChanges([{ ...a, outcome: 'notRun' }], final('a')),
    past: verifyChanges([a, b, change('c', 5, 40, 50, 'conflict', 1)], final('a', 'b')),
    future: verifyChanges([a, b, change('c', 5, 12, 15, 'conflict', 2)], final('a', 'b')),
  }).toMatchInlineSnapshot(`
    {
      "future": [
        "c got a conflict with version 2",
      ],
      "lost": [
        "b was accepted as 2 and is lost",
      ],
      "past": [
        "c got a conflict with version 1",
      ],
      "refused": [
        "a was refused and is 1",
      ],
      "swapped": [
        "a expected 0 and became 2",
        "b expected 1 and became 1",
        "b was sent after a and precedes it",
      ],
    }
  `);
});
