import { describe, expect, it } from 'vitest';
import { createTestFleet } from './create-test-fleet.js';

const seeds = [1, 2, 3, 4, 5];
/** Time after which the users' platform no longer counts a new machine as lost, and a second. */
const catchUpMs = 5_000;
const settleMs = 9_000;
/** The platform's `CatchUpS`. */
const platformCatchUpMs = 4_000;

async function startFleet(seed: number, options: { disks?: number; spares: number }) {
  const fleet = createTestFleet({ seed, ...options });
  fleet.startAll();
  await fleet.virtual.run(8_000);
  return fleet;
}

type Fleet = Awaited<ReturnType<typeof startFleet>>;

const listMembers = (fleet: Fleet, id: string) =>
  fleet.find(id).node.readControlSummary()?.members ?? [];

const listVoters = (fleet: Fleet, id: string) =>
  listMembers(fleet, id)
    .filter(({ role }) => role === 'voter')
    .map((member) => member.id)
    .sort();

/** Loses the disk of a daemon, which starts again without it. */
async function loseDisk(fleet: Fleet, id: string): Promise<void> {
  await fleet.loseDisk(id, 900);
  await fleet.virtual.run(catchUpMs);
}

describe.each(seeds)('voters that are replaced for good (seed %i)', (seed) => {
  // Guards against a group that keeps a voter which is gone for good, because a leader that was
  // elected beside a successor counts it: the loss of one disk then leaves no majority.
  it('keeps as many voters as it was founded with when all are replaced in turn', async () => {
    const fleet = await startFleet(seed, { disks: 3, spares: 3 });
    const { spares } = fleet;
    await fleet.put('daemon-4', 1);
    for (const [turn, successor] of spares.entries()) {
      fleet.restart(successor);
      await fleet.virtual.run(catchUpMs);
      fleet.kill(`daemon-${turn}`);
      await fleet.virtual.run(settleMs);
    }
    expect(listVoters(fleet, spares[0] ?? '')).toEqual(spares);
    await fleet.put('daemon-4', 2);
    await loseDisk(fleet, spares[0] ?? '');
    expect(await fleet.read('daemon-5')).toBe(2);
    await fleet.put('daemon-5', 3);
  });

  // Guards against a voter that stops for good and still counts as lost: the loss of a disk a second
  // later then leaves no majority.
  it.each([0, 1, 2])(
    'bears a lost disk right after voter %i was replaced as planned',
    async (index) => {
      const fleet = await startFleet(seed, { disks: 3, spares: 1 });
      const [successor = ''] = fleet.spares;
      await fleet.put('daemon-4', 1);
      fleet.restart(successor);
      await fleet.virtual.run(catchUpMs);
      await fleet.stop(`daemon-${index}`);
      const lost = `daemon-${(index + 1) % 3}`;
      await fleet.put('daemon-4', 2);
      await loseDisk(fleet, lost);
      expect(await fleet.read('daemon-5')).toBe(2);
      await fleet.virtual.run(settleMs);
      expect(listVoters(fleet, successor)).toHaveLength(3);
    },
  );

  // Guards against a group that counts a machine that is gone longer than the platform counts it.
  it.each([0, 1, 2])(
    'bears a lost disk %i and 4 s after a VM beside its successor is gone',
    async (index) => {
      const fleet = await startFleet(seed, { disks: 3, spares: 1 });
      fleet.restart(fleet.spares[0] ?? '');
      await fleet.virtual.run(catchUpMs);
      fleet.kill(`daemon-${index}`);
      await fleet.virtual.run(platformCatchUpMs);
      await fleet.put('daemon-4', 2);
      await loseDisk(fleet, `daemon-${(index + 2) % 3}`);
      expect(await fleet.read('daemon-5')).toBe(2);
    },
  );

  // Guards against voters that leave when all stop at once, so that the last ones are no group.
  it('keeps its voters when all stop at once and start again', async () => {
    const fleet = await startFleet(seed, { disks: 3, spares: 0 });
    await fleet.put('daemon-4', 1);
    const before = listVoters(fleet, 'daemon-0');
    await Promise.all(before.map((id) => fleet.find(id).node.startLeaving()));
    await fleet.virtual.run(3_000);
    expect(before.map((id) => listVoters(fleet, id))).toEqual(before.map(() => before));
    before.forEach(fleet.kill);
    before.forEach((id) => fleet.restart(id));
    await fleet.virtual.run(catchUpMs);
    await loseDisk(fleet, 'daemon-0');
    expect(await fleet.read('daemon-5')).toBe(1);
  });

  // Guards against a successor that is still catching up when the voter that it replaces stops.
  it('waits for a successor that catches up before it leaves', async () => {
    const fleet = await startFleet(seed, { disks: 3, spares: 1 });
    const [successor = ''] = fleet.spares;
    await fleet.put('daemon-4', 1);
    fleet.restart(successor);
    await fleet.virtual.run(400);
    await fleet.stop('daemon-1');
    await loseDisk(fleet, 'daemon-2');
    expect(await fleet.read('daemon-5')).toBe(1);
    expect(listVoters(fleet, successor)).toEqual(['daemon-0', 'daemon-2', successor]);
  });

  // Guards against two voters that leave together, where one may have to stay.
  it('bears two replacements at once', async () => {
    const fleet = await startFleet(seed, { disks: 3, spares: 2 });
    fleet.spares.forEach((id) => fleet.restart(id));
    await fleet.virtual.run(catchUpMs);
    ['daemon-0', 'daemon-1'].forEach((id) => fleet.find(id).node.startLeaving());
    await fleet.virtual.run(4_000);
    ['daemon-0', 'daemon-1'].forEach(fleet.kill);
    await fleet.put('daemon-4', 1);
    expect(listVoters(fleet, 'daemon-2')).toEqual(['daemon-2', ...fleet.spares]);
    await loseDisk(fleet, 'daemon-2');
    expect(await fleet.read('daemon-5')).toBe(1);
  });

  // Guards against a removed voter that starts again with its old disk and disturbs the group, or
  // never takes part again.
  it('takes a voter in again that left and starts with its old disk', async () => {
    const fleet = await startFleet(seed, { disks: 3, spares: 1 });
    fleet.spares.forEach((id) => fleet.restart(id));
    await fleet.virtual.run(catchUpMs);
    await fleet.stop('daemon-0');
    await fleet.put('daemon-4', 1);
    fleet.restart('daemon-0');
    await fleet.virtual.run(catchUpMs);
    expect(listVoters(fleet, 'daemon-0')).toEqual([...fleet.all.slice(0, 3), ...fleet.spares]);
    expect(await fleet.read('daemon-5')).toBe(1);
  });

  // Guards against a voter that was removed while it was cut off and acts on its old membership.
  it('ignores a removed voter that only one side knows to be gone', async () => {
    const fleet = await startFleet(seed, { disks: 3, spares: 1 });
    fleet.spares.forEach((id) => fleet.restart(id));
    await fleet.virtual.run(catchUpMs);
    const others = [...fleet.all, ...fleet.spares].filter((id) => id !== 'daemon-0');
    others.forEach((id) => fleet.cut('daemon-0', id));
    await fleet.virtual.run(catchUpMs);
    await fleet.put('daemon-4', 3);
    expect(await fleet.read('daemon-0')).toBeUndefined();
    const removed = listVoters(fleet, fleet.spares[0] ?? '');
    others.forEach((id) => fleet.heal('daemon-0', id));
    await fleet.virtual.run(catchUpMs);
    expect(removed).toEqual(['daemon-1', 'daemon-2', ...fleet.spares]);
    expect(await fleet.read('daemon-0')).toBe(3);
    await fleet.put('daemon-4', 4);
  });

  // Guards against a learner that ends while it catches up and holds up the changes after it.
  it('replaces a lost voter although an earlier successor ended while it joined', async () => {
    const fleet = await startFleet(seed, { disks: 3, spares: 2 });
    const [ended = '', successor = ''] = fleet.spares;
    fleet.restart(ended);
    while (!listMembers(fleet, 'daemon-0').some(({ id }) => id === ended)) {
      await fleet.virtual.run(10);
    }
    expect(listVoters(fleet, 'daemon-0')).not.toContain(ended);
    fleet.kill(ended);
    fleet.kill('daemon-0');
    await fleet.virtual.run(1_000);
    fleet.restart(successor);
    await fleet.virtual.run(catchUpMs);
    await fleet.put('daemon-4', 1);
    expect(listVoters(fleet, successor)).toEqual(['daemon-1', 'daemon-2', successor]);
  });
});
