import { expect, it } from 'vitest';
import { createTestFleet } from './create-test-fleet.js';

const silentMs = 1_500;
const settleMs = 12_000;

// Guards against a removal that half of the voters accept: a voter that then loses its disk could elect
// a leader on the other side of a split, which does not know what was accepted since the removal.
it.each([1, 2, 3, 4, 5, 6])(
  'reads nothing older after a split during the removal of a voter (seed %i)',
  async (seed) => {
    const fleet = createTestFleet({ seed, disks: 4 });
    const { virtual, all } = fleet;
    fleet.startAll();
    await virtual.run(8_000);
    await fleet.put('daemon-5', 1);
    const voters = all.slice(0, 4);
    const readSummary = (id: string) => fleet.find(id).node.readControlSummary();
    const leader = voters.find((id) => readSummary(id)?.role === 'leader') ?? '';
    const [removed = '', lost = '', other = ''] = voters.filter((id) => id !== leader);
    const setCut = (ids: readonly string[], set: (a: string, b: string) => void) =>
      ids.forEach((id) =>
        all.filter((outer) => !ids.includes(outer)).forEach((outer) => set(id, outer)),
      );
    setCut([removed], fleet.cut);
    await virtual.run(silentMs - 500);
    const hasRemoved = () => readSummary(leader)?.members.every(({ id }) => id !== removed);
    for (let waitedMs = 0; !hasRemoved() && waitedMs < 3_000; waitedMs += 1) await virtual.run(1);
    expect(hasRemoved()).toBe(true);
    // The split begins with the removal: the leader and `lost` on one side, the others on the other.
    setCut([removed], fleet.heal);
    setCut([removed, other], fleet.cut);
    const put = fleet
      .find(leader)
      .node.propose({ type: 'putConfig', version: 2, source: 'config 2' })
      .then(() => true)
      .catch(() => false);
    const isAccepted = await virtual.runUntil(put);
    await fleet.loseDisk(lost, 500);
    all.filter((id) => id !== lost).forEach((id) => fleet.heal(lost, id));
    fleet.cut(lost, leader);
    await virtual.run(settleMs);
    const versions = [];
    for (const id of [removed, other, lost]) versions.push(await fleet.read(id));
    if (isAccepted) expect(versions).not.toContain(1);
    all.forEach((id) => all.filter((to) => to !== id).forEach((to) => fleet.heal(id, to)));
    await virtual.run(settleMs);
    await fleet.put('daemon-5', 3);
    expect(await fleet.read('daemon-6')).toBe(3);
  },
);
