import { openLogStore } from '@vanillarelay/control';
import { createFakeDisk, createSeededRandom } from '@vanillarelay/scenarios';
import { expect, it } from 'vitest';

const seed = 7;
const turns = 200;
const group = { members: [] };
const entry = { term: 1, index: 1, at: 1, kind: 'command' as const, data: '{}' };

// Guards against a leader's snapshot that is written to a disk that was closed and opened again.
it('writes no snapshot that waited for the log when it was closed', async () => {
  const operations: string[] = [];
  const fake = createFakeDisk({
    random: createSeededRandom(seed),
    observe: (operation, name) => operations.push(`${operation} ${name}`),
  });
  let release = () => {};
  let isHeld = false;
  const sync = async (name: string): Promise<void> => {
    if (isHeld) {
      await new Promise<void>((resolve) => {
        release = resolve;
      });
    }
    await fake.disk.sync(name);
  };
  const store = await openLogStore({
    disk: { ...fake.disk, sync },
    createDiskId: () => 'disk-1',
    reportFailure: () => {},
  });
  isHeld = true;
  const appended = store.append(entry);
  const installed = store
    .install({ index: 20, term: 2, at: 20, group }, ['state 20'])
    .catch(() => 'refused');
  for (let turn = 0; turn < turns; turn += 1) await Promise.resolve();
  const closed = store.close();
  isHeld = false;
  release();
  await Promise.all([appended, closed]);
  operations.length = 0;
  expect([await installed, operations]).toEqual(['refused', []]);
});
