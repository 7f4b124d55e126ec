import { createControlGroup, type ControlGroup } from '@vanillarelay/scenarios';
import { expect, it } from 'vitest';
import { applyChanges, buildConfig, findFollowers, nodeIds } from './group-helpers.js';

const changesPerRound = 5;
const pollMs = 1;
/** Longest age at which routers use a node's state. */
const usableAgeMs = 2_000;

/** Watches a group for a while; returns each usable state that was older than its age says. */
async function findOutdatedStates(group: ControlGroup, version: number, ms: number) {
  const acceptedAt = group.virtual.clock.monotonic();
  const outdated: string[] = [];
  const check = (id: string) => {
    if (!group.isAlive(id)) return;
    const store = group.readStore(id);
    const age = store.readStateAgeMs();
    const isNewEnough = group.virtual.clock.monotonic() - age >= acceptedAt;
    const { configVersion } = store.readState().daemon;
    if (age <= usableAgeMs && isNewEnough && configVersion < version) {
      outdated.push(`${id} ${store.readStatus().role} ${configVersion}`);
    }
  };
  for (let waited = 0; waited < ms; waited += pollMs) {
    await group.virtual.run(pollMs);
    nodeIds.forEach((id) => {
      try {
        check(id);
      } catch {
        // The node is still opening its disk.
      }
    });
  }
  return [...new Set(outdated)];
}

// Guards against a node that takes fresh contact with the leader for a complete state: after the
// loss of its disk it would serve an empty configuration as the newest one.
it('reports an age for its state only once it holds what was committed', async () => {
  const group = createControlGroup({ seed: 21 });
  const leader = await group.waitForLeader();
  await applyChanges(group, 0, changesPerRound);
  const [wiped = ''] = findFollowers(leader);
  group.kill(wiped);
  group.wipe(wiped);
  group.network.addDelay(leader, wiped, 30);
  group.start(wiped);
  expect(await findOutdatedStates(group, changesPerRound, 3_000)).toEqual([]);
  expect(group.readStore(wiped).readStateAgeMs()).toBeLessThan(usableAgeMs);
});

// Guards against a new leader that reports an older state as current, since it has the votes of a
// quorum before it knows which of its entries are committed.
it.each([1, 2, 3, 4, 5])(
  'reports no age for an older state of a new leader (seed %i)',
  async (seed) => {
    const group = createControlGroup({ seed, syncMs: 20 });
    let version = 0;
    for (let round = 0; round < 3; round += 1) {
      const leader = await group.waitForLeader();
      await applyChanges(group, version, changesPerRound);
      version += changesPerRound + 1;
      const last = buildConfig(`last-${version}`, version - 1);
      await group.virtual.runUntil(group.readStore(leader).propose(last));
      // The followers hold the last change, but the message that it is committed is lost.
      group.cutOff(leader);
      group.kill(leader);
      expect(await findOutdatedStates(group, version, 3_000)).toEqual([]);
      group.clearCuts(leader);
      group.start(leader);
      await group.virtual.run(2_000);
    }
  },
);

// Guards against a node that starts beside a leader and has no usable state until the next heartbeat.
it.each([1, 2, 3, 4, 5])('reports an age soon after it has started (seed %i)', async (seed) => {
  const group = createControlGroup({ seed });
  const leader = await group.waitForLeader();
  await applyChanges(group, 0, changesPerRound);
  const [restarted = ''] = findFollowers(leader);
  group.kill(restarted);
  await group.virtual.run(1_000);
  group.start(restarted);
  const isUsable = () => {
    try {
      return group.readStore(restarted).readStateAgeMs() <= usableAgeMs;
    } catch {
      return false;
    }
  };
  const startedAt = group.virtual.clock.monotonic();
  while (!isUsable()) await group.virtual.run(pollMs);
  expect(group.virtual.clock.monotonic() - startedAt).toBeLessThan(150);
});
