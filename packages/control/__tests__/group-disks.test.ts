import { ResultCode } from '@vanillarelay/core';
import { createControlGroup, type ControlGroup } from '@vanillarelay/scenarios';
import { expect, it } from 'vitest';
import {
  nodeIds,
  applyChanges,
  buildConfig,
  expectEqualNodes,
  findFollowers,
} from './group-helpers.js';

const formatMembers = (group: ControlGroup, id: string) =>
  group
    .readStore(id)
    .readStatus()
    .members.map((member) => `${member.id} ${member.diskId} ${member.role}`)
    .sort();

// Guards against a node with an emptied disk whose vote elects a leader without the entries that
// the old disk had acknowledged.
it('keeps a wiped node from voting until it has been replaced', async () => {
  const group = createControlGroup({ seed: 7 });
  const leader = await group.waitForLeader();
  await applyChanges(group, 0, 10);
  const [wiped = '', other = ''] = findFollowers(leader);
  group.kill(wiped);
  group.wipe(wiped);
  group.start(wiped);
  await group.virtual.run(5_000);
  expect(formatMembers(group, leader)).toContain(`${wiped} disk-4 learner`);
  await expectEqualNodes(group, nodeIds);
  // With the leader gone, the wiped node must not make up a majority.
  group.kill(leader);
  await group.virtual.run(30_000);
  expect(group.findLeader()).toBeUndefined();
  expect(group.readStore(other).readStateAgeMs()).toBeGreaterThan(20_000);
  group.start(leader);
  const next = await group.waitForLeader();
  const replaced = group
    .readStore(next)
    .replaceMember({ id: wiped, by: { id: wiped, address: wiped } });
  await group.virtual.runUntil(replaced);
  await applyChanges(group, 10, 1);
  // A second node is lost right after the replacement.
  group.kill(next);
  await group.waitForLeader();
  await applyChanges(group, 11, 5);
});

// Guards against losing an accepted change when two nodes are lost in turn and one is replaced.
it('keeps accepted changes when a second node is lost after the first was replaced', async () => {
  const group = createControlGroup({ seed: 8, snapshotBytes: 1_500 });
  const first = await group.waitForLeader();
  await applyChanges(group, 0, 40);
  group.kill(first);
  group.start('control-4');
  const second = await group.waitForLeader();
  const by = { id: 'control-4', address: 'control-4' };
  await group.virtual.runUntil(group.readStore(second).replaceMember({ id: first, by }));
  group.kill(second);
  const third = await group.waitForLeader();
  await applyChanges(group, 40, 10);
  const { daemon } = group.readStore(third).readState();
  expect(daemon.configVersion).toBe(50);
  expect(formatMembers(group, third).filter((text) => text.endsWith('voter'))).toHaveLength(3);
});

// Guards against a disk restored from an old copy that forgets votes and acknowledged entries.
it('stops a node whose disk is an older copy, and lets it rejoin as a learner', async () => {
  const group = createControlGroup({ seed: 9 });
  const leader = await group.waitForLeader();
  const [old = ''] = findFollowers(leader);
  const { disk } = group.findDisk(old);
  const copies = new Map<string, Uint8Array>();
  for (const name of await disk.list())
    copies.set(name, (await disk.read(name)) ?? new Uint8Array());
  await applyChanges(group, 0, 5);
  group.kill(old);
  for (const [name, bytes] of copies) await disk.write(name, bytes).then(() => disk.sync(name));
  await disk.syncFolder();
  group.start(old);
  await group.virtual.run(3_000);
  expect(group.readFailure(old)).toMatchObject({ code: ResultCode.notMember });
  group.start(old);
  await group.virtual.run(3_000);
  expect(formatMembers(group, leader)).toContain(`${old} disk-4 learner`);
});

// Guards against a node that keeps acknowledging after its disk failed.
it('stops a node permanently when its disk fails, while the others continue', async () => {
  const group = createControlGroup({ seed: 10 });
  const leader = await group.waitForLeader();
  const { disk } = group.findDisk(leader);
  disk.sync = () => Promise.reject(new Error('input/output error'));
  const pending = group.readStore(leader).propose(buildConfig('open', 0));
  pending.catch(() => {});
  await group.virtual.run(3_000);
  await expect(pending).rejects.toMatchObject({ code: ResultCode.storageFailed, notRun: false });
  expect(group.readFailure(leader)?.message).toBe('input/output error');
  expect(group.isAlive(leader)).toBe(false);
  const next = await group.waitForLeader();
  const { configVersion } = group.readStore(next).readState().daemon;
  await applyChanges(group, configVersion, 5);
});

// Guards against changes that are refused for good after the disks of all nodes were full, one after
// another; each node ends with its disk's failure and is started again until its disk has room.
it.each([11, 12, 13])(
  'accepts changes after every disk was full in turn (seed %i)',
  async (seed) => {
    const group = createControlGroup({ seed, snapshotBytes: 1_500 });
    await group.waitForLeader();
    let accepted = 0;
    for (const id of [...nodeIds, ...nodeIds]) {
      group.findDisk(id).setFull(true);
      await group.waitForLeader();
      await applyChanges(group, accepted, 3);
      accepted += 3;
      for (let attempt = 0; attempt < 4; attempt += 1) {
        await group.virtual.run(700);
        if (group.readFailure(id)) group.start(id);
      }
      group.findDisk(id).setFull(false);
      await group.virtual.run(1_000);
      if (group.readFailure(id)) group.start(id);
    }
    await group.waitForLeader();
    await applyChanges(group, accepted, 3);
    await expectEqualNodes(group, nodeIds);
  },
);
