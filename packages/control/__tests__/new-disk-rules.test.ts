import { openReplicatedStore, type RaftPeer } from '@vanillarelay/control';
import type { Command } from '@vanillarelay/core';
import { createFakeDisk, createSeededRandom, createVirtualClock } from '@vanillarelay/scenarios';
import { expect, it } from 'vitest';

interface PeerScript {
  diskId: string;
  /** Whether the peer is cut off. */
  isCut: boolean;
  /** Whether it grants votes that count; it always grants those that only ask. */
  isGranting: boolean;
  /** Index up to which it acknowledges entries. */
  limit: number;
}

const ids = ['a', 'b', 'c', 'd'];
const command = { type: 'clearMark', fingerprint: 'f' } as Command;

/** Opens node `a` of four voters; the other ones follow their scripts. */
const openScriptedGroup = async () => {
  const virtual = createVirtualClock();
  const random = createSeededRandom(17);
  const requests: string[] = [];
  const scripts = new Map<string, PeerScript>(
    ids.map((id) => [id, { diskId: `${id}1`, isCut: false, isGranting: true, limit: Infinity }]),
  );
  const find = (id: string) => scripts.get(id) as PeerScript;
  const openPeer = (id: string): RaftPeer => {
    const script = find(id);
    const answer = async (toDisk: string | undefined) => {
      await virtual.clock.wait(1);
      if (script.isCut) throw new Error('no connection');
      const { diskId } = script;
      return {
        from: { id, diskId, incarnation: 1, startIndex: 0, commitIndex: 0, at: 0 },
        ...(toDisk !== undefined && toDisk !== diskId ? { isOtherDisk: true } : {}),
      };
    };
    return {
      requestVote: async ({ term, isPreVote, toDisk }) => {
        const reply = await answer(toDisk);
        if (!isPreVote) requests.push(`${term} ${script.diskId}`);
        const isGranted = !reply.isOtherDisk && (isPreVote || script.isGranting);
        return { ...reply, term: isPreVote ? 0 : term, isGranted };
      },
      appendEntries: async ({ term, toDisk, previousIndex, entries }) => ({
        ...(await answer(toDisk)),
        ...{ term, isMatched: true, mark: 0 },
        index: Math.min(script.limit, previousIndex + entries.length),
      }),
      installSnapshot: () => Promise.reject(new Error('not needed')),
      readSender: async () => (await answer(undefined)).from,
    };
  };
  const store = await openReplicatedStore({
    ...{ id: 'a', address: 'a', clock: virtual.clock, random, openPeer },
    timeline: { record: () => {} },
    openDisk: async () => createFakeDisk({ random }).disk,
    createDiskId: () => 'a1',
    initialMembers: ids.map((id) => ({ id, address: id })),
    reportFailure: () => {},
  });
  store.start();
  await virtual.run(3_000);
  expect(store.readStatus()).toMatchObject({ role: 'leader', term: 1, commitIndex: 1 });
  requests.length = 0;
  return { virtual, store, requests, find };
};

const loseLeadership = async ({
  virtual,
  store,
  find,
}: Awaited<ReturnType<typeof openScriptedGroup>>) => {
  ids.slice(1).forEach((id) => {
    find(id).isCut = true;
  });
  await virtual.run(1_500);
  expect(store.readStatus().role).toBe('follower');
};

// Guards against a vote that an intact voter gave before the new disk gave its own: two candidates
// could both be elected with it (replaced-disk-model.test.ts).
it('asks the new disk for its vote before the other voters', async () => {
  const group = await openScriptedGroup();
  const { virtual, store, requests, find } = group;
  await loseLeadership(group);
  Object.assign(find('b'), { diskId: 'b2', isCut: false, isGranting: false });
  find('c').isCut = false;
  await virtual.run(5_000);
  expect(new Set(requests.map((request) => request.split(' ')[1]))).toEqual(new Set(['b2']));
  expect(store.readStatus().role).toBe('follower');
  find('b').isGranting = true;
  requests.length = 0;
  await virtual.run(5_000);
  expect(store.readStatus().role).toBe('leader');
  expect(requests.map((request) => request.split(' ')[1])).toEqual(['b2', 'c1']);
  expect(store.readStatus().members.map(({ diskId }) => diskId)).toEqual(['a1', 'b2', 'c1', 'd1']);
});

// Guards against an entry that counts as accepted by a disk which was lost since and by the new disk of
// another voter (replaced-disk-model.test.ts).
it('counts no acknowledgement from before the entry that gives a new disk its seat', async () => {
  const { virtual, store, find } = await openScriptedGroup();
  find('d').isCut = true;
  find('b').isCut = true;
  const proposal = store.propose(command).catch((error: Error) => error.message);
  await virtual.run(300);
  // `c` has the proposed entry and no later one; `b` has lost its disk and then gets all of them.
  find('c').limit = store.readStatus().lastIndex;
  Object.assign(find('b'), { diskId: 'b2', isCut: false });
  await virtual.run(600);
  expect(store.readStatus()).toMatchObject({ role: 'leader', lastIndex: 3, commitIndex: 1 });
  find('c').limit = Infinity;
  await virtual.run(600);
  expect(store.readStatus()).toMatchObject({ role: 'leader', commitIndex: 3 });
  expect(await proposal).toMatchObject({ ok: true });
});
