import { openLogStore } from '@vanillarelay/control';
import { createFakeDisk, createSeededRandom } from '@vanillarelay/scenarios';
import { expect, it } from 'vitest';

const group = { members: [] };
const entriesBefore = 5;
const entriesAfter = 3;

const buildEntry = (index: number) => ({
  ...{ term: 1, index, at: index, kind: 'command' as const },
  data: JSON.stringify({ value: `entry ${index}` }),
});

// Guards against losing what was acknowledged after a disk operation failed and the log was opened
// again, when the VM then loses power.
it('keeps what it acknowledged after any disk operation had failed', async () => {
  const failures: string[] = [];
  const lost: string[] = [];
  for (let failAt = 1; ; failAt += 1) {
    let operations = 0;
    let failed: string | undefined;
    const fake = createFakeDisk({
      random: createSeededRandom(failAt),
      observe: (operation, name) => {
        operations += 1;
        if (operations !== failAt) return;
        failed = `${operation} ${name}`;
        throw new Error('EIO: i/o error');
      },
    });
    const open = () =>
      openLogStore({ disk: fake.disk, createDiskId: () => 'disk-1', reportFailure: () => {} });
    let accepted = 0;
    const run = async () => {
      const store = await open();
      try {
        for (let index = 1; index <= entriesBefore; index += 1) {
          await store.append(buildEntry(index));
          accepted = index;
        }
        await store.compact({ index: 3, term: 1, at: 3, group }, ['state 3']);
        await store.append(buildEntry(entriesBefore + 1));
        accepted = entriesBefore + 1;
      } finally {
        await store.close();
      }
    };
    await run().catch(() => {});
    if (failed === undefined) break;
    failures.push(failed);
    const reopened = await open();
    const first = reopened.memory.readLast().index + 1;
    for (let index = first; index < first + entriesAfter; index += 1) {
      await reopened.append(buildEntry(index));
      accepted = index;
    }
    await reopened.close();
    fake.crash();
    const found = await open();
    const { index } = found.memory.readLast();
    if (index < accepted) lost.push(`${failed} (${failAt}): ${index} of ${accepted} entries`);
  }
  expect(failures.length).toBeGreaterThan(30);
  expect(lost).toEqual([]);
});
