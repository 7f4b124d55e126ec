import { openLogStore, type LogStore } from '@vanillarelay/control';
import { createFakeDisk, createSeededRandom } from '@vanillarelay/scenarios';
import { expect, it } from 'vitest';

const seed = 7;

const buildEntry = (index: number, term = 1) => ({
  term,
  index,
  at: index,
  kind: 'command' as const,
  data: JSON.stringify({ value: `entry ${index} of term ${term}` }),
});

const openStore = (fake: ReturnType<typeof createFakeDisk>, reportFailure = () => {}) =>
  openLogStore({ disk: fake.disk, createDiskId: createDiskIds(), reportFailure });

let diskIds = 0;
const createDiskIds = () => () => {
  diskIds += 1;
  return `disk-${diskIds}`;
};

const group = { members: [] };

/** Runs every kind of write; `accepted` holds what the store reported as durable. */
const runWrites = async (store: LogStore, accepted: { term: number; entries: number[] }) => {
  const acceptEntry = async (index: number, term: number) => {
    await store.append(buildEntry(index, term));
    accepted.entries[index] = term;
  };
  await store.saveHardState({ term: 1, vote: 'a', incarnations: {} });
  accepted.term = 1;
  for (let index = 1; index <= 5; index += 1) await acceptEntry(index, 1);
  await store.saveHardState({ term: 2, vote: 'b', incarnations: {} });
  accepted.term = 2;
  accepted.entries.length = 5;
  await acceptEntry(5, 2);
  await store.compact({ index: 4, term: 1, at: 4, group }, ['state 4']);
  await Promise.all([acceptEntry(6, 2), acceptEntry(7, 2)]);
  await store.install({ index: 20, term: 2, at: 20, group }, ['state 20']);
  accepted.entries = [];
  await acceptEntry(21, 2);
};

class CrashError extends Error {}

// Guards against losing an acknowledged entry or vote when the VM loses power between two writes.
it('recovers what it acknowledged after a crash at every disk operation', async () => {
  const outcomes: string[] = [];
  for (let crashAt = 1; ; crashAt += 1) {
    let operations = 0;
    const fake = createFakeDisk({
      random: createSeededRandom(seed + crashAt),
      observe: () => {
        operations += 1;
        if (operations >= crashAt && crashAt > 0) throw new CrashError('crash');
      },
    });
    const accepted = { term: 0, entries: [] as number[] };
    const hasCrashed = await openStore(fake)
      .then((store) => runWrites(store, accepted))
      .then(
        () => false,
        () => true,
      );
    if (!hasCrashed) break;
    fake.crash();
    // Recovery itself crashes as well, at another operation each time.
    operations = crashAt - 1 - (crashAt % 9);
    await openStore(fake).catch(() => fake.crash());
    operations = Number.NEGATIVE_INFINITY;
    const store = await openStore(fake);
    expect(store.removalReason).toBeUndefined();
    expect(store.readHardState().term).toBeGreaterThanOrEqual(accepted.term);
    const base = store.memory.readBase().index;
    accepted.entries.forEach((term, index) => {
      const found = index <= base ? term : store.memory.findTerm(index);
      expect(found, `crash at ${crashAt}, entry ${index}`).toBeGreaterThanOrEqual(term);
    });
    outcomes.push(`${store.readHardState().term}/${store.memory.readLast().index}`);
  }
  expect(outcomes.length).toBeGreaterThan(40);
  // The last crash hits the sync of entry 21, which was not acknowledged.
  expect(outcomes.at(-1)).toMatch(/^2\/2[01]$/);
});

// Guards against group commit falling back to one sync for each proposal.
it('writes all entries that arrive during a sync with the next one', async () => {
  let syncs = 0;
  const fake = createFakeDisk({
    random: createSeededRandom(seed),
    observe: (operation) => {
      if (operation === 'sync') syncs += 1;
    },
  });
  const store = await openStore(fake);
  const before = syncs;
  const writes: Promise<void>[] = [];
  for (let index = 1; index <= 100; index += 1) writes.push(store.append(buildEntry(index)));
  await Promise.all(writes);
  expect(syncs - before).toBe(1);
});

// Guards against treating a partly written last frame as an entry, or as damage.
it('truncates a torn last frame', async () => {
  const fake = createFakeDisk({ random: createSeededRandom(seed) });
  const store = await openStore(fake);
  for (let index = 1; index <= 3; index += 1) await store.append(buildEntry(index));
  const length = (await fake.disk.read('log'))?.length ?? 0;
  for (const lost of [1, 20, 60]) {
    await fake.disk.truncate('log', length - lost);
    const reopened = await openStore(fake);
    expect(reopened.removalReason).toBeUndefined();
    expect(reopened.memory.readLast().index).toBe(2);
    await reopened.append(buildEntry(3));
    expect((await fake.disk.read('log'))?.length).toBe(length);
  }
});

// Guards against voting or leading with a log in which the disk flipped a bit.
it('starts empty with a new disk id after any flipped bit', async () => {
  const write = async () => {
    const fake = createFakeDisk({ random: createSeededRandom(seed) });
    const store = await openStore(fake);
    await store.saveHardState({ term: 3, vote: 'a', incarnations: {} });
    for (let index = 1; index <= 4; index += 1) await store.append(buildEntry(index));
    await store.compact({ index: 2, term: 1, at: 2, group }, ['state']);
    return { fake, diskId: store.identity.diskId };
  };
  const { fake: undamaged } = await write();
  for (const name of ['log', 'snapshot', 'identity']) {
    const length = (await undamaged.disk.read(name))?.length ?? 0;
    expect(length).toBeGreaterThan(40);
    for (let byte = 0; byte < length; byte += 7) {
      const { fake, diskId } = await write();
      fake.flipBit(name, byte);
      const store = await openStore(fake);
      expect(store.removalReason, `${name} at byte ${byte}`).toBeDefined();
      expect(store.identity.diskId).not.toBe(diskId);
      expect(store.readHardState().term).toBe(0);
      expect(store.memory.readLast().index).toBe(0);
      expect((await openStore(fake)).removalReason).toBeUndefined();
    }
  }
});

// Guards against a node that continues as if a failed sync had succeeded.
it('writes nothing after a failed sync', async () => {
  let isFailing = false;
  let writes = 0;
  const fake = createFakeDisk({
    random: createSeededRandom(seed),
    observe: (operation) => {
      if (isFailing && operation === 'append') writes += 1;
      if (isFailing && operation === 'sync') throw new Error('input/output error');
    },
  });
  const failures: string[] = [];
  const store = await openLogStore({
    disk: fake.disk,
    createDiskId: createDiskIds(),
    reportFailure: (error) => failures.push(error.message),
  });
  await store.append(buildEntry(1));
  isFailing = true;
  await expect(store.append(buildEntry(2))).rejects.toThrow('input/output error');
  isFailing = false;
  await expect(store.append(buildEntry(3))).rejects.toThrow('input/output error');
  await expect(store.sync()).rejects.toThrow('input/output error');
  expect(failures).toEqual(['input/output error']);
  expect(writes).toBe(1);
});

// Guards against losing changes over many restarts with snapshots in between.
it('keeps hundreds of entries over restarts from snapshot and log', async () => {
  const fake = createFakeDisk({ random: createSeededRandom(seed) });
  let last = 0;
  for (let restart = 0; restart < 12; restart += 1) {
    const store = await openStore(fake);
    expect(store.memory.readLast().index).toBe(last);
    expect(store.identity.incarnation).toBe(restart + 1);
    for (let index = last + 1; index <= last + 40; index += 1) {
      await store.append(buildEntry(index));
    }
    last += 40;
    if (restart % 3 === 1) {
      const index = last - 5;
      await store.compact({ index, term: 1, at: index, group }, [`state ${index}`]);
    }
    fake.crash();
  }
  const store = await openStore(fake);
  expect(store.memory.readLast().index).toBe(480);
  expect(store.readSnapshot()).toEqual({ index: 435, term: 1, at: 435, group });
  expect(store.takeSnapshotParts()).toEqual(['state 435']);
});

// Guards against losing acknowledged entries after a disk was full between the leader's snapshot and
// the log that belongs to it: the entries of the replaced log stay in the file before the new ones.
it.each([5, 12])('keeps what follows a snapshot installed over %i entries', async (count) => {
  let isFull = false;
  const fake = createFakeDisk({
    random: createSeededRandom(seed),
    observe: (operation, name) => {
      if (isFull && operation === 'append' && name === 'log.new') throw new Error('ENOSPC');
    },
  });
  const store = await openStore(fake);
  for (let index = 1; index <= count; index += 1) await store.append(buildEntry(index));
  isFull = true;
  const head = { index: 10, term: 2, at: 10, group };
  await expect(store.install(head, ['state 10'])).rejects.toThrow('ENOSPC');
  isFull = false;
  const reopened = await openStore(fake);
  await reopened.append(buildEntry(11, 2));
  fake.crash();
  const last = await openStore(fake);
  expect(last.memory.readLast()).toMatchObject({ index: 11, term: 2 });
  expect(last.identity.diskId).toBe(store.identity.diskId);
});

// Guards against acknowledging what a failed sync left in the file and never made durable.
it('makes durable at the start what it read, before anything is acknowledged', async () => {
  let isFull = false;
  const fake = createFakeDisk({
    random: () => 0,
    observe: (operation) => {
      if (isFull && operation === 'sync') throw new Error('ENOSPC');
    },
  });
  const store = await openStore(fake);
  await store.saveHardState({ term: 1, incarnations: {} });
  isFull = true;
  await expect(store.append(buildEntry(1))).rejects.toThrow('ENOSPC');
  isFull = false;
  const reopened = await openStore(fake);
  await reopened.sync();
  const read = reopened.memory.readLast().index;
  fake.crash();
  const last = await openStore(fake);
  expect(last.memory.readLast().index).toBe(read);
});

// Guards against a disk that stays full for good with the part of a snapshot that found no room.
it('leaves no part of a replacement that failed', async () => {
  const fake = createFakeDisk({ random: createSeededRandom(seed) });
  const store = await openStore(fake);
  await store.append(buildEntry(1));
  fake.setFull(true);
  const head = { index: 1, term: 1, at: 1, group };
  await expect(store.compact(head, ['x'.repeat(10_000)])).rejects.toThrow('ENOSPC');
  await expect(openStore(fake)).rejects.toThrow('ENOSPC');
  expect(await fake.disk.list()).toEqual(['identity', 'log']);
});

// Guards against a disk that stays full for good with what a killed process had begun to write.
it('removes what an unfinished replacement left before it writes anything', async () => {
  const fake = createFakeDisk({ random: createSeededRandom(seed) });
  await openStore(fake);
  await fake.disk.write('snapshot.new', new Uint8Array(10_000));
  fake.setFull(true);
  await expect(openStore(fake)).rejects.toThrow('ENOSPC');
  expect(await fake.disk.list()).toEqual(['identity', 'log']);
});
