import { describe, expect, it } from 'vitest';
import { createTestFleet } from './create-test-fleet.js';

const seeds = [1, 2, 3];
/** Time after which the users' platform no longer counts a new VM as lost, and a second. */
const catchUpMs = 5_000;
const restartMs = 500;
/** The platform's `RecoverS`. */
const recoverMs = 12_000;

type Role = 'leader' | 'follower' | 'successor';

/** A fleet of three voters with a disk, one of which has a successor beside it. */
async function startFleet(seed: number) {
  const fleet = createTestFleet({ seed, disks: 3, spares: 1 });
  fleet.startAll();
  await fleet.virtual.run(8_000);
  const [successor = ''] = fleet.spares;
  fleet.restart(successor);
  await fleet.virtual.run(catchUpMs);
  await fleet.put('daemon-4', 9);
  const voters = [...fleet.all.slice(0, 3), successor];
  const isLeader = (id: string) => fleet.find(id).node.readControlSummary()?.role === 'leader';
  const choose = (role: Role, besides: string): string => {
    if (role === 'successor') return successor;
    const others = voters.filter((id) => id !== besides && id !== successor);
    return others.find((id) => isLeader(id) === (role === 'leader')) ?? '';
  };
  return { ...fleet, successor, choose };
}

type Fleet = Awaited<ReturnType<typeof startFleet>>;

/** Reads through daemons in turn until one of them answers. */
async function readAtAny(fleet: Fleet, ids: readonly string[]): Promise<number | undefined> {
  for (const id of [...ids, ...ids, ...ids]) {
    const version = await fleet.read(id);
    if (version !== undefined) return version;
    await fleet.virtual.run(200);
  }
  return undefined;
}

const expectWholeGroup = async (fleet: Fleet, gone: string) => {
  await fleet.virtual.run(recoverMs);
  const running = [...fleet.all, fleet.successor].filter((id) => id !== gone);
  expect(await readAtAny(fleet, running)).toBe(9);
  await fleet.put('daemon-5', 14);
  const members = fleet.find(fleet.successor).node.readControlSummary()?.members ?? [];
  const disks = running.flatMap((id) => fleet.find(id).node.readControlSummary()?.diskId ?? []);
  expect(members.map(({ diskId }) => diskId).sort()).toEqual(disks.sort());
};

describe.each(seeds)('a disk that is lost after a VM without SIGTERM (seed %i)', (seed) => {
  // Guards against a group of four voters that has no quorum for good, as one of them is gone, another
  // has lost its disk, and only a quorum could let it in again.
  it.each(
    [0, 500, 1_500].flatMap((delayMs) => [
      ['leader', 'follower', delayMs] as const,
      ['leader', 'successor', delayMs] as const,
      ['follower', 'leader', delayMs] as const,
      ['follower', 'follower', delayMs] as const,
      ['follower', 'successor', delayMs] as const,
    ]),
  )(
    'keeps the configuration when the %s is gone and the %s loses its disk %i ms later',
    async (goneRole, lostRole, delayMs) => {
      const fleet = await startFleet(seed);
      const gone = fleet.choose(goneRole, '');
      const lost = fleet.choose(lostRole, gone);
      fleet.kill(gone);
      await fleet.virtual.run(delayMs);
      await fleet.loseDisk(lost, restartMs);
      await expectWholeGroup(fleet, gone);
    },
  );

  // Guards against the same where the disk is lost first.
  it.each([
    ['leader', 'follower'],
    ['follower', 'leader'],
    ['follower', 'follower'],
    ['leader', 'successor'],
  ] as const)(
    'keeps the configuration when the %s is gone after the %s lost its disk',
    async (goneRole, lostRole) => {
      const fleet = await startFleet(seed);
      const gone = fleet.choose(goneRole, '');
      const lost = fleet.choose(lostRole, gone);
      fleet.kill(lost);
      fleet.wipe(lost);
      fleet.kill(gone);
      await fleet.virtual.run(restartMs);
      fleet.restart(lost);
      await expectWholeGroup(fleet, gone);
    },
  );

  // Guards against a vote or membership that counts only in memory, so that nobody may be elected.
  it('keeps the configuration when all others are killed as well and start again', async () => {
    const fleet = await startFleet(seed);
    const gone = fleet.choose('leader', '');
    const lost = fleet.choose('follower', gone);
    const running = [...fleet.all, fleet.successor].filter((id) => id !== gone);
    fleet.kill(gone);
    running.forEach(fleet.kill);
    fleet.wipe(lost);
    await fleet.virtual.run(restartMs);
    running.forEach((id) => fleet.restart(id));
    await expectWholeGroup(fleet, gone);
  });

  // Guards against a new disk that has voted, or got a part of the log, and is no member yet.
  it.each([100, 700, 1_200, 1_800, 2_400])(
    'keeps the configuration when the new disk is lost too, %i ms after its start',
    async (delayMs) => {
      const fleet = await startFleet(seed);
      const gone = fleet.choose('leader', '');
      const lost = fleet.choose('follower', gone);
      fleet.kill(gone);
      await fleet.loseDisk(lost, restartMs);
      await fleet.virtual.run(delayMs);
      await fleet.loseDisk(lost, restartMs);
      await expectWholeGroup(fleet, gone);
    },
  );
});
