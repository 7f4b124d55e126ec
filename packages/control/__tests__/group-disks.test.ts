import { ResultCode } from '@vanillarelay/core';
import { createControlGroup, type ControlGroup } from '@vanillarelay/scenarios';
import { expect, it } from 'vitest';
import {
  all,
  applyChanges,
  buildConfig,
  expectEqualNodes,
  findFollowers,
} from './group-helpers.js';

const findVoters = (group: ControlGroup, id: string) =>
  group
    .readStore(id)
    .readStatus()
    .members.map((member) => `${member.id} ${member.diskId} ${member.role}`)
    .sort();

// Guards against a node with an emptied disk that votes away what its old disk had acknowledged.
it('keeps a wiped node from voting until it has been replaced', async () => {
  const group = createControlGroup({ seed: 7 });
  const leader = await group.waitForLeader();
  await applyChanges(group, 0, 10);
  const [wiped = '', other = ''] = findFollowers(leader);
  group.kill(wiped);
  group.wipe(wiped);
  group.start(wiped);
  await group.virtual.run(5_000);
  expect(findVoters(group, leader)).toContain(`${wiped} disk-4 learner`);
  await expectEqualNodes(group, all);
  // With the leader gone, the wiped node must not make up a majority.
  group.kill(leader);
  await group.virtual.run(30_000);
  expect(group.findLeader()).toBeUndefined();
  expect(group.readStore(other).readQuorumAgeMs()).toBeGreaterThan(20_000);
  group.start(leader);
  const next = await group.waitForLeader();
  const replaced = group
    .readStore(next)
    .replaceMember({ id: wiped, by: { id: wiped, address: wiped } });
  await group.virtual.runUntil(replaced);
  await applyChanges(group, 10, 1);
  // A second loss right after the repair.
  group.kill(next);
  await group.waitForLeader();
  await applyChanges(group, 11, 5);
});

// Guards against two losses in turn, with a repair in between, that lose an accepted change.
it('survives the loss of two nodes in turn, replaced by new ones', async () => {
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
  expect(findVoters(group, third).filter((text) => text.endsWith('voter'))).toHaveLength(3);
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
  expect(findVoters(group, leader)).toContain(`${old} disk-4 learner`);
});

// Guards against a node that keeps acknowledging after its disk failed.
it('stops a node for good when its disk fails, and the others go on', async () => {
  const group = createControlGroup({ seed: 10 });
  const leader = await group.waitForLeader();
  const { disk } = group.findDisk(leader);
  disk.sync = () => Promise.reject(new Error('input/output error'));
  const open = group.readStore(leader).propose(buildConfig('open', 0));
  open.catch(() => {});
  await group.virtual.run(3_000);
  await expect(open).rejects.toMatchObject({ code: ResultCode.storageFailed, notRun: false });
  expect(group.readFailure(leader)?.message).toBe('input/output error');
  expect(group.isAlive(leader)).toBe(false);
  const next = await group.waitForLeader();
  const { configVersion } = group.readStore(next).readState().daemon;
  await applyChanges(group, configVersion, 5);
});
