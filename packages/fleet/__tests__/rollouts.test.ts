import { ResultCode, type CommandResult, type ServiceId } from '@vanillarelay/core';
import { expect, it } from 'vitest';
import { createTestFleet } from './create-test-fleet.js';
import { runRolloutModel } from './run-rollout-model.js';

const firstSeed = Number(process.env.ROLLOUT_FIRST ?? 1);
const seedCount = Number(process.env.ROLLOUT_SEEDS ?? 20);
const maxMsPerSeed = 6_000;

const service = 'desk' as ServiceId;
const settleMs = 8_000;
/** Time in which a change reaches every daemon. */
const spreadMs = 1_000;
/** Time for which a repeated order does not start an ended roll-out again, and more. */
const repeatMs = 9_000;
/** Time by which the ages at two daemons differ at most while nothing fails. */
const maxAgeErrorMs = 500;

async function startFleet(options: Partial<Parameters<typeof createTestFleet>[0]> = {}) {
  const fleet = createTestFleet({ seed: 3, disks: 3, others: 3, ...options });
  fleet.startAll();
  await fleet.virtual.run(settleMs);
  const start = (id: string, to: string): Promise<CommandResult> => {
    const { node, process } = fleet.find(id);
    const command = { type: 'startRollout', service, to, durationMs: 12_000 } as const;
    return fleet.virtual.runUntil(node.propose({ ...command, startedAt: process.clock.now() }));
  };
  const end = (id: string, startIndex: number, outcome: 'completed' | 'rolledBack') =>
    fleet.virtual.runUntil(fleet.find(id).node.proposeRolloutEnd(service, startIndex, outcome));
  const list = () => fleet.all.map((id) => fleet.find(id).node.listRollouts()[0]);
  const listStates = () => [
    ...new Set(list().map((found) => `${found?.rollout.to} ${found?.rollout.state}`)),
  ];
  return { fleet, start, end, list, listStates };
}

const readIndex = (result: CommandResult): number => (result.ok ? (result.index ?? 0) : 0);

// Guards against daemons that do not learn of a roll-out, of its end, or of its age.
it('tells all daemons the state and the age of a roll-out', async () => {
  const { fleet, start, end, list, listStates } = await startFleet();
  const startIndex = readIndex(await start('daemon-4', 'v2'));
  await fleet.virtual.run(spreadMs);
  const ages = list().map((found) => found?.ageMs ?? Infinity);
  const started = listStates();
  await end('daemon-1', startIndex, 'completed');
  const repeated = await end('daemon-2', startIndex, 'rolledBack');
  await fleet.virtual.run(spreadMs);
  expect(Math.min(...ages)).toBeGreaterThanOrEqual(spreadMs - maxAgeErrorMs);
  expect(Math.max(...ages)).toBeLessThanOrEqual(spreadMs + maxAgeErrorMs);
  expect([started, repeated.ok, listStates()]).toEqual([['v2 inProgress'], true, ['v2 completed']]);
});

// Guards against a resent order that starts a roll-out again which was rolled back meanwhile.
it('starts an ended roll-out again only for an order that is no repeat', async () => {
  const { fleet, start, end, listStates } = await startFleet();
  const startIndex = readIndex(await start('daemon-4', 'v2'));
  const conflict = await start('daemon-5', 'v3');
  await end('daemon-1', startIndex, 'rolledBack');
  const repeats = [];
  for (const id of fleet.all) repeats.push(await start(id, 'v2'));
  await fleet.virtual.run(spreadMs);
  const afterRepeats = listStates();
  await fleet.virtual.run(repeatMs);
  const again = await start('daemon-3', 'v2');
  await fleet.virtual.run(spreadMs);
  expect(conflict).toMatchObject({ ok: false, code: ResultCode.rolloutConflict });
  expect(repeats).toEqual(fleet.all.map(() => ({ ok: true, index: startIndex })));
  expect([afterRepeats, listStates()]).toEqual([['v2 rolledBack'], ['v2 inProgress']]);
  expect(readIndex(again)).toBeGreaterThan(startIndex);
});

// Guards against a roll-out that is lost, or begins again, when all processes end at once.
it('keeps a roll-out and at least the age of the wall clock after all daemons were killed', async () => {
  const { fleet, start, list, listStates } = await startFleet({ snapshotBytes: 1 });
  await start('daemon-4', 'v2');
  await fleet.virtual.run(spreadMs);
  fleet.all.forEach(fleet.kill);
  await fleet.virtual.run(2_000);
  fleet.all.forEach((id) => fleet.restart(id));
  await fleet.virtual.run(4_000);
  const ages = list().map((found) => found?.ageMs ?? 0);
  expect(listStates()).toEqual(['v2 inProgress']);
  expect(Math.min(...ages)).toBeGreaterThanOrEqual(spreadMs + 6_000);
  expect(Math.max(...ages)).toBeLessThanOrEqual(spreadMs + 6_000 + maxAgeErrorMs);
});

// Guards against a wall clock that is ahead and makes a roll-out older at daemons that counted.
it('ignores the wall clock of a restarted hub while other daemons have counted', async () => {
  let offsetMs = 0;
  const { fleet, start, list } = await startFleet({ readClockOffset: () => offsetMs });
  await start('daemon-4', 'v2');
  await fleet.virtual.run(spreadMs);
  offsetMs = 60_000;
  fleet.kill('daemon-0');
  fleet.restart('daemon-0');
  await fleet.virtual.run(4_000);
  const ages = list().map((found) => found?.ageMs ?? Infinity);
  expect(Math.max(...ages)).toBeLessThanOrEqual(spreadMs + 4_000 + maxAgeErrorMs);
  expect(Math.min(...ages)).toBeGreaterThanOrEqual(spreadMs + 4_000 - maxAgeErrorMs);
});

// Guards against states that go back, orders that are carried out twice and acknowledgements that
// are lost.
it(
  'keeps its promises in random schedules of failures and repeated orders',
  async () => {
    const violations: string[] = [];
    let acknowledged = 0;
    let ended = 0;
    for (let seed = firstSeed; seed < firstSeed + seedCount; seed += 1) {
      const result = await runRolloutModel(seed);
      violations.push(...result.violations);
      acknowledged += result.acknowledged;
      ended += result.ended;
    }
    expect(violations).toEqual([]);
    expect(acknowledged).toBeGreaterThan(seedCount);
    expect(ended).toBeGreaterThan(seedCount);
  },
  seedCount * maxMsPerSeed,
);
