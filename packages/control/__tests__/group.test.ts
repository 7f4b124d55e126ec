import { encodeState } from '@vanillarelay/control';
import { ResultCode, type ChangeId, type Command, type CommandResult } from '@vanillarelay/core';
import { createControlGroup, type ControlGroup } from '@vanillarelay/scenarios';
import { expect, it } from 'vitest';

const buildConfig = (changeId: string, expectedVersion: number): Command => ({
  type: 'applyConfig',
  changeId: changeId as ChangeId,
  operator: 'operator',
  expectedVersion,
  config: { dataCentres: {}, services: {}, accounts: {}, concurrentLoads: expectedVersion + 1 },
});

/** Applies changes one after another; every one must be accepted. */
const applyChanges = async (group: ControlGroup, from: number, count: number) => {
  const client = group.createClient(`client-${from}`);
  for (let version = from; version < from + count; version += 1) {
    const result = await group.virtual.runUntil(
      group.propose(client, buildConfig(`change-${version}`, version)),
      30_000,
    );
    expect(result).toMatchObject({ ok: true, value: { configVersion: version + 1 } });
  }
};

const expectEqualNodes = async (group: ControlGroup, ids: string[]) => {
  await group.virtual.run(5_000);
  const states = ids.map((id) => [...encodeState(group.readStore(id).readState())].join('\n'));
  states.forEach((state, position) => {
    expect(state, `${ids[position]} (seed ${group.seed})`).toBe(states[0]);
  });
};

/** Three heartbeats: the leader's own contact, the echoed answer, the last message; and the delay. */
const quorumAgeLimitMs = 3 * 250 + 10;

const all = ['control-1', 'control-2', 'control-3'];
const findFollowers = (leader: string) => all.filter((id) => id !== leader);

// Guards against a group that elects nobody, or a follower that swallows proposals.
it('elects a leader that a follower names to proposers', async () => {
  const group = createControlGroup({ seed: 1 });
  const leader = await group.waitForLeader();
  await applyChanges(group, 0, 3);
  const follower = findFollowers(leader)[0] ?? '';
  await expect(group.readStore(follower).propose(buildConfig('x', 3))).rejects.toMatchObject({
    code: ResultCode.notLeader,
    notRun: true,
    leader,
  });
  await expectEqualNodes(group, all);
  findFollowers(leader).forEach((id) => {
    expect(group.readStore(id).readQuorumAgeMs()).toBeLessThan(quorumAgeLimitMs);
  });
});

// Guards against a single control node (the local sample) waiting for peers it does not have.
it('runs alone and keeps its state over restarts', async () => {
  const group = createControlGroup({ seed: 2, ids: ['control-1'], snapshotBytes: 2_000 });
  for (let restart = 0; restart < 10; restart += 1) {
    await group.waitForLeader();
    await applyChanges(group, restart * 30, 30);
    group.kill('control-1');
    group.start('control-1');
  }
  await group.waitForLeader();
  const { daemon, history, changes } = group.readStore('control-1').readState();
  expect([daemon.configVersion, history.length, changes.size]).toEqual([300, 300, 300]);
  expect(group.events.filter((event) => event.endsWith('raft.snapshot')).length).toBeGreaterThan(5);
});

// Guards against losing accepted changes with the leader, and against a slow takeover.
it('goes on within 4 s after the leader was killed, again and again', async () => {
  const group = createControlGroup({ seed: 3, snapshotBytes: 3_000 });
  for (let round = 0; round < 6; round += 1) {
    const leader = await group.waitForLeader();
    await applyChanges(group, round * 5, 5);
    group.kill(leader);
    const killedAt = group.virtual.clock.monotonic();
    const next = await group.waitForLeader();
    expect(next).not.toBe(leader);
    expect(group.virtual.clock.monotonic() - killedAt).toBeLessThan(4_000);
    group.start(leader);
  }
  await applyChanges(group, 30, 1);
  await expectEqualNodes(group, all);
});

// Guards against a woken leader that accepts on an old term, or answers with old contact.
it('lets a frozen leader accept nothing after it wakes', async () => {
  const group = createControlGroup({ seed: 4 });
  const leader = await group.waitForLeader();
  await applyChanges(group, 0, 2);
  group.freeze(leader);
  await group.virtual.run(5_000);
  await applyChanges(group, 2, 2);
  const lost = group.readStore(leader).propose(buildConfig('lost', 2));
  lost.catch(() => {});
  expect(group.readStore(leader).readQuorumAgeMs()).toBeGreaterThan(4_000);
  group.resume(leader);
  await expect(group.virtual.runUntil(lost)).rejects.toMatchObject({ code: ResultCode.noQuorum });
  await applyChanges(group, 4, 2);
  await expectEqualNodes(group, all);
});

// Guards against a node that was cut off for long and raises the term of the healthy group.
it('does not disturb the group when a node returns after a long cut', async () => {
  const group = createControlGroup({ seed: 5, snapshotBytes: 2_000 });
  const leader = await group.waitForLeader();
  const { term } = group.readStore(leader).readStatus();
  const cut = findFollowers(leader)[0] ?? '';
  group.cutOff(cut);
  await applyChanges(group, 0, 60);
  await group.virtual.run(120_000);
  expect(group.readStore(cut).readQuorumAgeMs()).toBeGreaterThan(110_000);
  await expect(group.readStore(cut).propose(buildConfig('x', 0))).rejects.toMatchObject({
    notRun: true,
  });
  group.clearCuts(cut);
  await expectEqualNodes(group, all);
  expect(group.readStore(leader).readStatus()).toMatchObject({ role: 'leader', term });
  expect(group.readStore(cut).readQuorumAgeMs()).toBeLessThan(quorumAgeLimitMs);
});

// Guards against a leader that is cut off and waits for ever instead of answering its proposers.
it('answers every proposer of a leader that is cut off', async () => {
  const group = createControlGroup({ seed: 6 });
  const leader = await group.waitForLeader();
  await applyChanges(group, 0, 1);
  group.cutOff(leader);
  const open = group.readStore(leader).propose(buildConfig('open', 1));
  open.catch(() => {});
  await expect(group.virtual.runUntil(open, 10_000)).rejects.toMatchObject({
    code: ResultCode.noQuorum,
    notRun: false,
  });
  await group.virtual.run(1_000);
  await expect(group.readStore(leader).propose(buildConfig('late', 1))).rejects.toMatchObject({
    code: ResultCode.noQuorum,
    notRun: true,
  });
  expect(await group.virtual.runUntil(group.readStore(leader).confirmLeadership())).toBe(false);
  group.clearCuts(leader);
  await group.waitForLeader();
  await expectEqualNodes(group, all);
});

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

// Guards against a change that is applied twice, or answered differently, when it is sent again.
it('gives a resent change its first answer across leaders and snapshots', async () => {
  const group = createControlGroup({ seed: 11, snapshotBytes: 1_000 });
  const first = await group.waitForLeader();
  const client = group.createClient('client');
  const send = (id: string, version: number): Promise<CommandResult> =>
    group.virtual.runUntil(group.propose(client, buildConfig(id, version)));
  const accepted = await send('a', 0);
  const refused = await send('b', 0);
  await send('c', 1);
  group.kill(first);
  await group.waitForLeader();
  for (let version = 2; version < 20; version += 1) await send(`later-${version}`, version);
  expect(await send('a', 0)).toEqual(accepted);
  expect(await send('b', 0)).toEqual(refused);
  expect(refused).toMatchInlineSnapshot(`
    {
      "code": 5002,
      "details": {
        "configVersion": 1,
        "winner": {
          "at": 1700000001602,
          "changeId": "a",
          "configVersion": 1,
          "index": 2,
          "operator": "operator",
          "summary": "no difference",
          "type": "applyConfig",
        },
      },
      "message": "expected version 0, current version is 1, from change 'a' of operator",
      "ok": false,
    }
  `);
});

// Guards against two leaders of one term by a node that votes twice, or forgets its vote.
it('votes once in a term, also after a restart', async () => {
  const group = createControlGroup({ seed: 12 });
  const leader = await group.waitForLeader();
  const [voter = '', other = ''] = findFollowers(leader);
  const request = async (id: string, term: number) => {
    const { handlers, readStatus } = group.readStore(voter);
    const { diskId, lastIndex } = readStatus();
    const from = { id, diskId: `disk of ${id}`, incarnation: 1, startIndex: 0, commitIndex: 0 };
    const { signal } = new AbortController();
    const round = { toDisk: diskId, term, lastIndex, lastTerm: term, isPreVote: false };
    const reply = await group.virtual.runUntil(handlers.requestVote({ from, ...round }, signal));
    return reply.isGranted;
  };
  expect(await request('early', 50)).toBe(false);
  group.kill(leader);
  group.kill(other);
  await group.virtual.run(1_100);
  expect([await request('a', 50), await request('b', 50), await request('a', 50)]).toEqual([
    true,
    false,
    true,
  ]);
  group.kill(voter);
  group.start(voter);
  await group.virtual.run(100);
  expect([await request('b', 50), await request('a', 50)]).toEqual([false, true]);
  expect(await request('a', 49)).toBe(false);
});
