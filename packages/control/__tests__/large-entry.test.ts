import type { ChangeId, Command } from '@vanillarelay/core';
import { createControlGroup } from '@vanillarelay/scenarios';
import { expect, it } from 'vitest';
import { expectEqualNodes, nodeIds } from './group-helpers.js';

/** Half of a link of 4.9 Mbit/s. */
const slowLinkBytesPerMs = 300;
/** Time that the users' platform allows for an acknowledgement. */
const acknowledgeMs = 5_000;
const accountCount = 2_000;

/** Builds a change of about 200 KB. */
function buildLargeChange(): Command {
  const accounts = Object.fromEntries(
    Array.from({ length: accountCount }, (_, index) => [
      `account-${index}`,
      { keys: [`key-${index}-of-this-account`, `second-key-${index}-of-this-account`] },
    ]),
  );
  return {
    type: 'applyConfig',
    changeId: 'large' as ChangeId,
    operator: 'operator',
    expectedVersion: 0,
    config: { dataCentres: {}, services: {}, accounts, concurrentLoads: 1 },
  } as unknown as Command;
}

// Guards against an entry that never reaches a node with a slow link, because every attempt takes
// longer than its time limit and begins again with the first byte.
it.each([1, 2, 3])('replicates a large entry over slow links (seed %i)', async (seed) => {
  const group = createControlGroup({ seed });
  const leader = await group.waitForLeader();
  nodeIds.forEach((id) => group.network.setBandwidth(id, slowLinkBytesPerMs));
  const startedAt = group.virtual.clock.monotonic();
  const store = group.readStore(leader);
  const result = await group.virtual.runUntil(store.propose(buildLargeChange()), 20_000);
  expect(result).toMatchObject({ ok: true });
  expect(group.virtual.clock.monotonic() - startedAt).toBeLessThan(acknowledgeMs);
  await expectEqualNodes(group, nodeIds);
  expect(group.findLeader()).toBe(leader);
  expect(group.events.filter((event) => event.endsWith('raft.elected'))).toHaveLength(1);
});

// Guards against parts of two entries that are joined, when the leader changes between them.
it.each([1, 2, 3])('keeps a large entry whole when the leader changes (seed %i)', async (seed) => {
  const group = createControlGroup({ seed });
  const leader = await group.waitForLeader();
  nodeIds.forEach((id) => group.network.setBandwidth(id, slowLinkBytesPerMs));
  const lost = group.readStore(leader).propose(buildLargeChange());
  lost.catch(() => {});
  await group.virtual.run(300);
  group.kill(leader);
  const next = await group.waitForLeader();
  const result = group.readStore(next).propose(buildLargeChange());
  expect(await group.virtual.runUntil(result, 20_000)).toMatchObject({ ok: true });
  group.start(leader);
  await expectEqualNodes(group, nodeIds);
});
