import { openReplicatedStore, type AppendReply, type RaftPeer } from '@vanillarelay/control';
import type { Command } from '@vanillarelay/core';
import { createFakeDisk, createSeededRandom, createVirtualClock } from '@vanillarelay/scenarios';
import { expect, it } from 'vitest';

/** A scripted peer: it grants every vote and acknowledges entries up to `limit`. */
const createScriptedPeer = (id: string, script: { limit: number; term: number }) => {
  const from = {
    id,
    diskId: `disk of ${id}`,
    incarnation: 1,
    startIndex: 0,
    commitIndex: 0,
    at: 0,
  };
  const peer: RaftPeer = {
    requestVote: async ({ term }) => ({ from, term, isGranted: true }),
    appendEntries: async ({ term, previousIndex, entries }): Promise<AppendReply> => ({
      from,
      term: Math.max(term, script.term),
      isMatched: script.term <= term,
      index: Math.min(script.limit, previousIndex + entries.length),
      mark: 0,
    }),
    installSnapshot: () => Promise.reject(new Error('not needed')),
    readSender: async () => from,
  };
  return peer;
};

// Guards against committing an entry of an older term by counting replicas: a later leader without
// it could still replace it, and an accepted change would be lost.
it('commits an entry of an older term only together with one of its own term', async () => {
  const virtual = createVirtualClock();
  const random = createSeededRandom(13);
  const script = { limit: 1, term: 0 };
  const ids = ['a', 'b', 'c'];
  const store = await openReplicatedStore({
    id: 'a',
    address: 'a',
    clock: virtual.clock,
    random,
    timeline: { record: () => {} },
    openDisk: async () => createFakeDisk({ random }).disk,
    createDiskId: () => 'disk of a',
    initialMembers: ids.map((id) => ({ id, address: id })),
    openPeer: (address) => createScriptedPeer(address, script),
    reportFailure: () => {},
  });
  store.start();
  await virtual.run(3_000);
  expect(store.readStatus()).toMatchObject({ role: 'leader', term: 1, commitIndex: 1 });
  const command = { type: 'clearMark', fingerprint: 'f' } as Command;
  const proposal = store.propose(command).catch((error: Error) => error.message);
  await virtual.run(300);
  // A peer with a higher term makes the leader step down before the entry is accepted.
  script.term = 5;
  await virtual.run(300);
  expect(await proposal).toBe('the leader changed before the entry was accepted');
  script.term = 0;
  await virtual.run(3_000);
  expect(store.readStatus()).toMatchObject({ role: 'leader', term: 6, lastIndex: 3 });
  // A quorum has the entry of term 1 now, but nothing of term 6.
  script.limit = 2;
  await virtual.run(1_000);
  expect(store.readStatus()).toMatchObject({ commitIndex: 1, appliedIndex: 1 });
  expect(await virtual.runUntil(store.confirmLeadership())).toBe(false);
  script.limit = 3;
  await virtual.run(1_000);
  expect(store.readStatus()).toMatchObject({ commitIndex: 3, appliedIndex: 3 });
  expect(await virtual.runUntil(store.confirmLeadership())).toBe(true);
});
