import { createControlGroup, type ControlGroup } from '@vanillarelay/scenarios';
import { expect, it } from 'vitest';
import { applyChanges, expectEqualNodes } from './group-helpers.js';

const seeds = [31, 32, 33, 34, 35];
const ids = ['control-1', 'control-2', 'control-3', 'control-4'];

const startGroup = async (seed: number) => {
  const group = createControlGroup({ seed, ids, snapshotBytes: 1_500 });
  const leader = await group.waitForLeader();
  await applyChanges(group, 0, 5);
  const [first = '', second = '', third = ''] = ids.filter((id) => id !== leader);
  return { group, leader, first, second, third };
};

const loseDisk = async (group: ControlGroup, id: string): Promise<void> => {
  group.kill(id);
  group.wipe(id);
  await group.virtual.run(200);
  group.start(id);
};

const listVoters = (group: ControlGroup, id: string) =>
  group
    .readStore(id)
    .readStatus()
    .members.filter(({ role }) => role === 'voter')
    .map((member) => member.id)
    .sort();

// Guards against a group of four that stays without a quorum, and against a new disk that counts
// before the leader has the changes which the lost one had acknowledged.
it.each(seeds)('lets a new disk vote while another voter is down (seed %i)', async (seed) => {
  const { group, leader, first, second } = await startGroup(seed);
  group.kill(leader);
  await loseDisk(group, first);
  await applyChanges(group, 5, 5);
  expect(listVoters(group, second)).toEqual(ids);
  group.start(leader);
  await expectEqualNodes(group, ids);
  // The new disk has all that it acknowledged, so the next one may be lost.
  group.kill(second);
  await loseDisk(group, leader);
  await applyChanges(group, 10, 5);
});

// Guards against a new disk that elects a node which was cut off and lacks accepted changes.
it.each(seeds)(
  'elects a node with all accepted changes beside a new disk (seed %i)',
  async (seed) => {
    const { group, leader, first, second, third } = await startGroup(seed);
    group.cutOff(third);
    await applyChanges(group, 5, 5);
    group.kill(leader);
    await loseDisk(group, first);
    group.clearCuts(third);
    expect(await group.waitForLeader()).toBe(second);
    await applyChanges(group, 10, 5);
  },
);

// Guards against two new disks that count in one quorum: the voter which is left lacks accepted changes.
it.each(seeds)('waits for an intact disk when two of four were lost (seed %i)', async (seed) => {
  const { group, leader, first, second, third } = await startGroup(seed);
  group.cutOff(third);
  await applyChanges(group, 5, 5);
  group.kill(leader);
  await Promise.all([loseDisk(group, first), loseDisk(group, second)]);
  group.clearCuts(third);
  await group.virtual.run(30_000);
  expect(group.findLeader()).toBeUndefined();
  expect(group.readStore(third).readStateAgeMs()).toBeGreaterThan(20_000);
  group.start(leader);
  await applyChanges(group, 10, 5);
  await expectEqualNodes(group, ids);
});

// Guards against a membership that counts as committed only until its nodes start again.
it.each(seeds)('keeps the rule over a restart of all nodes (seed %i)', async (seed) => {
  const { group, leader, first } = await startGroup(seed);
  ids.forEach((id) => group.kill(id));
  group.wipe(first);
  await group.virtual.run(200);
  ids.filter((id) => id !== leader).forEach((id) => group.start(id));
  await applyChanges(group, 5, 5);
  ids.forEach((id) => group.kill(id));
  await group.virtual.run(200);
  ids.filter((id) => id !== leader).forEach((id) => group.start(id));
  await applyChanges(group, 10, 5);
});

// Guards against a disk that is lost on the other side of a split than the one that removes a voter.
it.each(seeds)('shows nothing older when a split of four heals (seed %i)', async (seed) => {
  const { group, leader, first, second, third } = await startGroup(seed);
  [leader, first].forEach((id) => [second, third].forEach((other) => group.network.cut(id, other)));
  await loseDisk(group, first);
  await group.virtual.run(4_000);
  expect(ids.every((id) => group.readStore(id).readStateAgeMs() > 2_000)).toBe(true);
  [leader, first].forEach((id) =>
    [second, third].forEach((other) => group.network.clearCut(id, other)),
  );
  await applyChanges(group, 5, 5);
  await expectEqualNodes(group, ids);
});
