import { describe, expect, it } from 'vitest';
import { createTestFleet } from './create-test-fleet.js';

const seeds = [1, 2, 3, 4, 5];
/** Time after which the users' platform no longer counts a new machine as lost, and a second. */
const catchUpMs = 5_000;
const settleMs = 9_000;

async function startFleet(seed: number, options: { disks?: number; spares: number }) {
  const fleet = createTestFleet({ seed, ...options });
  fleet.startAll();
  await fleet.virtual.run(8_000);
  return fleet;
}

type Fleet = Awaited<ReturnType<typeof startFleet>>;

const listVoters = (fleet: Fleet, id: string) =>
  (fleet.find(id).node.readControlSummary()?.members ?? [])
    .filter(({ role }) => role === 'voter')
    .map((member) => member.id)
    .sort();

/** Loses the disk of a daemon, which starts again without it. */
async function loseDisk(fleet: Fleet, id: string): Promise<void> {
  fleet.kill(id);
  fleet.wipe(id);
  await fleet.virtual.run(900);
  fleet.restart(id);
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
});
