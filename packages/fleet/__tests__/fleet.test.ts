import type { EndpointId } from '@vanillarelay/core';
import { describe, expect, it } from 'vitest';
import { createTestFleet } from './create-test-fleet.js';

const seeds = [1, 2, 3, 4, 5];
/** Time within which the users' platform requires a configuration to be in force. */
const inForceMs = 2_000;
/** Time within which the users' platform requires an acknowledgement. */
const acknowledgeMs = 4_000;
const heartbeatMs = 1_200;
/** Time within which the users' platform requires service after all machines are back. */
const recoverMs = 12_000;

async function startSettled(seed: number, options: { disks?: number; others?: number } = {}) {
  const fleet = createTestFleet({ seed, ...options });
  fleet.startAll();
  await fleet.virtual.run(8_000);
  return fleet;
}

type Fleet = Awaited<ReturnType<typeof startSettled>>;

const listVersions = (fleet: Fleet, ids = fleet.all) => ids.map((id) => fleet.readVersion(id));
const readMembers = (fleet: Fleet, id: string) =>
  fleet.find(id).node.readControlSummary()?.members ?? [];
const findLeader = (fleet: Fleet) =>
  fleet.all.find((id) => {
    const { process, node } = fleet.find(id);
    return process.isAlive() && node.readControlSummary()?.role === 'leader';
  }) ?? '';

describe.each(seeds)('a fleet that knows only its seeds (seed %i)', (seed) => {
  // Guards against several control groups, or none, when all daemons start at once.
  it('forms one control group of all daemons with a disk and applies a configuration', async () => {
    const fleet = await startSettled(seed, { disks: 5, others: 6 });
    expect(
      readMembers(fleet, 'daemon-0')
        .map(({ id }) => id)
        .sort(),
    ).toEqual(fleet.all.slice(0, 5));
    await fleet.put('daemon-9', 7);
    await fleet.virtual.run(inForceMs);
    expect(listVersions(fleet)).toEqual(fleet.all.map(() => 7));
    expect(await fleet.read('daemon-10')).toBe(7);
  });

  // Guards against losing an accepted configuration when all processes end or lose power at once.
  it('keeps an accepted configuration when all daemons are killed right afterwards', async () => {
    const fleet = await startSettled(seed);
    await fleet.put('daemon-5', 3);
    fleet.all.forEach(fleet.kill);
    fleet.all.forEach((id) => fleet.restart(id));
    await fleet.virtual.run(3_000);
    expect(listVersions(fleet)).toEqual(fleet.all.map(() => 3));
    expect(await fleet.read('daemon-4')).toBe(3);
  });

  // Guards against daemons that find no hub because all seeds lost what they knew at the same time.
  it('finds its hubs again through seeds that are no hubs after all were killed', async () => {
    const fleet = await startSettled(seed, { disks: 3, others: 6 });
    await fleet.put('daemon-5', 3);
    fleet.setSeeds(['daemon-4', 'daemon-5', 'daemon-6']);
    fleet.all.forEach(fleet.kill);
    fleet.all.forEach((id) => fleet.restart(id));
    await fleet.virtual.run(recoverMs);
    expect(listVersions(fleet)).toEqual(fleet.all.map(() => 3));
  });

  // Guards against a node with a wiped disk that helps to elect a leader without the change.
  it('keeps an accepted configuration when one disk is lost and the others lose power', async () => {
    const fleet = await startSettled(seed);
    await fleet.put('daemon-4', 5);
    const wiped = findLeader(fleet);
    fleet.all.forEach(fleet.kill);
    fleet.wipe(wiped);
    fleet.all.forEach((id) => fleet.restart(id));
    await fleet.virtual.run(10_000);
    expect(await fleet.read('daemon-6')).toBe(5);
    expect(listVersions(fleet)).toEqual(fleet.all.map(() => 5));
    const voters = readMembers(fleet, wiped).filter(({ role }) => role === 'voter');
    expect(voters.map(({ id }) => id).sort()).toEqual(fleet.all.slice(0, 3));
  });

  // Guards against losing data when a disk is lost before the node repaired last is a full member.
  it('tolerates the loss of one disk after another, seconds apart', async () => {
    const fleet = await startSettled(seed);
    await fleet.put('daemon-4', 2);
    for (const id of ['daemon-0', 'daemon-1', 'daemon-2']) {
      fleet.kill(id);
      fleet.wipe(id);
      fleet.restart(id);
      await fleet.virtual.run(acknowledgeMs);
    }
    expect(await fleet.read('daemon-5')).toBe(2);
    await fleet.put('daemon-6', 4);
    expect(await fleet.read('daemon-3')).toBe(4);
  });

  // Guards against a permanently lost control node that is never replaced.
  it('replaces a lost control node by one at another address', async () => {
    const fleet = await startSettled(seed, { disks: 4, others: 3 });
    fleet.kill('daemon-2');
    await fleet.virtual.run(1_000);
    await fleet.put('daemon-5', 9);
    fleet.wipe('daemon-2');
    fleet.start(2, { address: '10.2.0.99:7000' });
    await fleet.virtual.run(acknowledgeMs);
    const voters = readMembers(fleet, findLeader(fleet)).filter(({ role }) => role === 'voter');
    expect(voters.map(({ address }) => address)).toContain('10.2.0.99:7000');
    expect(voters).toHaveLength(4);
    expect(fleet.readVersion('daemon-2')).toBe(9);
  });

  // Guards against a partitioned leader that answers a read with a configuration since replaced.
  it('never reads an older configuration than the newest accepted one', async () => {
    const fleet = await startSettled(seed);
    await fleet.put('daemon-4', 1);
    const leader = findLeader(fleet);
    fleet.all.filter((id) => id !== leader).forEach((id) => fleet.cut(leader, id));
    await fleet.put('daemon-4', 2);
    expect(await fleet.read(leader)).toBeUndefined();
    expect(await fleet.read('daemon-5')).toBe(2);
    fleet.all.filter((id) => id !== leader).forEach((id) => fleet.heal(leader, id));
    await fleet.virtual.run(inForceMs);
    expect(fleet.readVersion(leader)).toBe(2);
  });

  // Guards against sending the whole configuration again to a daemon that has it.
  it('confirms a configuration by its index alone when the reader already has it', async () => {
    const fleet = await startSettled(seed);
    await fleet.put('daemon-4', 1);
    await fleet.virtual.run(inForceMs);
    const { node } = fleet.find(findLeader(fleet));
    const { index } = node.view.state;
    const reply = node.handlers.readIndex(new AbortController().signal);
    expect(await fleet.virtual.runUntil(reply)).toEqual({ index });
    expect(await fleet.read('daemon-5')).toBe(1);
  });

  // Guards against daemons that stay with a hub that is cut off from the other control nodes.
  it('moves daemons away from a hub that lost contact with the other hubs', async () => {
    const fleet = await startSettled(seed);
    const leader = findLeader(fleet);
    ['daemon-0', 'daemon-1', 'daemon-2']
      .filter((id) => id !== leader)
      .forEach((id) => fleet.cut(leader, id));
    await fleet.virtual.run(3_000);
    await fleet.put('daemon-3', 6);
    await fleet.virtual.run(inForceMs);
    const others = fleet.all.filter((id) => id !== leader);
    expect(listVersions(fleet, others)).toEqual(others.map(() => 6));
  });

  // Guards against a daemon that returns to an older version, also when an older change is resent.
  it('applies versions in rising order on every daemon, up to the highest', async () => {
    const fleet = await startSettled(seed);
    for (const version of [2, 5, 3, 9, 4]) await fleet.put('daemon-6', version);
    await fleet.virtual.run(inForceMs);
    fleet.all.forEach((id) => {
      const { versions } = fleet.find(id);
      expect(versions).toEqual([...versions].sort((a, b) => a - b));
      expect(versions.at(-1)).toBe(9);
    });
  });

  // Guards against requests to an endpoint whose departure was acknowledged.
  it('notifies every daemon of a departure even when the receiving daemon is killed', async () => {
    const fleet = await startSettled(seed);
    const ready = fleet.buildRecord();
    fleet.find('daemon-3').table.announce(ready);
    await fleet.virtual.runUntil(fleet.find('daemon-3').node.announce(ready));
    await fleet.virtual.run(1_000);
    const leaving = fleet.buildRecord({ state: 'leaving', sequence: 2 });
    await fleet.virtual.runUntil(fleet.find('daemon-4').node.announce(leaving));
    fleet.kill('daemon-4');
    fleet.kill('daemon-0');
    await fleet.virtual.run(2_000);
    const others = fleet.all.filter((id) => !['daemon-0', 'daemon-4'].includes(id));
    const states = others.map((id) => fleet.find(id).table.find(ready.id)?.record.state);
    expect(states).toEqual(others.map(() => 'leaving'));
  });

  // Guards against requests to an endpoint whose departure was acknowledged just before all hubs died.
  it.each([0, 1, 5, 10, 20])(
    'keeps an acknowledged departure when all hubs are killed %i ms later',
    async (delayMs) => {
      const fleet = await startSettled(seed);
      const ready = fleet.buildRecord();
      await fleet.virtual.runUntil(fleet.find('daemon-3').node.announce(ready));
      await fleet.virtual.run(1_000);
      const gone = fleet.buildRecord({ state: 'gone' });
      await fleet.virtual.runUntil(fleet.find('daemon-4').node.announce(gone));
      await fleet.virtual.run(delayMs);
      const hubs = ['daemon-0', 'daemon-1', 'daemon-2'];
      hubs.forEach(fleet.kill);
      hubs.forEach((id) => fleet.restart(id));
      await fleet.virtual.run(2_000);
      const states = fleet.all.map((id) => fleet.find(id).table.find(ready.id)?.record.state);
      expect(states).toEqual(fleet.all.map(() => 'gone'));
    },
  );

  // Guards against a hub that keeps the daemons of all others after these were lost for a while.
  it('spreads daemons over the hubs again after a time without a leader', async () => {
    const fleet = await startSettled(seed, { disks: 3, others: 12 });
    const readHub = (id: string) =>
      fleet.find(id).events.findLast(({ name }) => name === 'fleet.hubChosen')?.details?.hub;
    const others = fleet.all.slice(3);
    const before = others.map(readHub);
    const leader = findLeader(fleet);
    fleet.kill(leader);
    await fleet.virtual.run(4_000);
    const during = others.map(readHub);
    fleet.restart(leader);
    await fleet.virtual.run(recoverMs);
    expect(during).not.toEqual(before);
    expect(others.map(readHub)).toEqual(before);
  });

  // Guards against daemons that are missing from the list of all, by which limits are divided, after
  // they moved from one hub to another.
  it('lists all daemons everywhere after a hub was lost for a while', async () => {
    const fleet = await startSettled(seed, { disks: 3, others: 12 });
    const leader = findLeader(fleet);
    fleet.kill(leader);
    await fleet.virtual.run(4_000);
    fleet.restart(leader);
    await fleet.virtual.run(recoverMs);
    const known = fleet.all.map((id) => fleet.find(id).node.view.daemons.map((info) => info.id));
    known.forEach((ids) => expect([...ids].sort()).toEqual([...fleet.all].sort()));
  });

  // Guards against a fleet that has no endpoints until each has announced itself again.
  it('restores its endpoint records after all daemons were killed', async () => {
    const fleet = await startSettled(seed);
    const record = fleet.buildRecord();
    await fleet.virtual.runUntil(fleet.find('daemon-5').node.announce(record));
    await fleet.virtual.run(1_000);
    fleet.all.forEach(fleet.kill);
    fleet.all.forEach((id) => fleet.restart(id));
    await fleet.virtual.run(2_000);
    const states = fleet.all.map((id) => fleet.find(id).table.find(record.id)?.record.state);
    expect(states).toEqual(fleet.all.map(() => 'ready'));
  });

  // Guards against daemons that keep an endpoint alive for each other after it has gone silent.
  it('marks an endpoint silent on every daemon and clears the mark when it returns', async () => {
    const fleet = await startSettled(seed);
    const announceAll = async (ids: string[], daemon: string, sequence: number) => {
      const { node, table } = fleet.find(daemon);
      for (const id of ids) {
        const record = fleet.buildRecord({
          ...{ id: id as EndpointId, address: `10.1.9.9:${id.length}`, sequence },
        });
        if (table.announce(record)) await fleet.virtual.runUntil(node.announce(record));
      }
      await fleet.virtual.run(heartbeatMs);
    };
    const readSilent = (id: string) =>
      fleet.all.map(
        (daemon) => fleet.find(daemon).table.find(id as EndpointId)?.record.isSilent ?? false,
      );
    const [all, none] = [fleet.all.map(() => true), fleet.all.map(() => false)];
    for (let beat = 1; beat <= 3; beat += 1) await announceAll(['e', 'e2'], 'daemon-5', beat);
    // The live endpoint announces itself to another daemon, as it does after a failed heartbeat.
    for (let beat = 4; beat <= 9; beat += 1) await announceAll(['e2'], 'daemon-3', beat);
    expect([readSilent('e'), readSilent('e2')]).toEqual([all, none]);
    await announceAll(['e', 'e2'], 'daemon-4', 10);
    expect([readSilent('e'), readSilent('e2')]).toEqual([none, none]);
  });
});

// Guards against a leader that ends its process when its disk is full.
it('keeps working while the disk of the leader fails, and lets it rejoin', async () => {
  const fleet = await startSettled(11);
  await fleet.put('daemon-4', 1);
  const leader = findLeader(fleet);
  const { disk } = fleet.find(leader);
  if (!disk) throw new Error('the leader has no disk');
  const { append, write } = disk.disk;
  const refuse = async () => {
    throw new Error('ENOSPC');
  };
  Object.assign(disk.disk, { append: refuse, write: refuse });
  await fleet.put('daemon-4', 2);
  await fleet.virtual.run(inForceMs);
  expect(listVersions(fleet)).toEqual(fleet.all.map(() => 2));
  Object.assign(disk.disk, { append, write });
  await fleet.virtual.run(5_000);
  expect(fleet.find(leader).node.readControlSummary()?.appliedIndex).toBeGreaterThan(0);
  await fleet.put('daemon-4', 3);
  expect(await fleet.read('daemon-5')).toBe(3);
});
