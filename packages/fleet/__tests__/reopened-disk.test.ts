import type { Disk } from '@vanillarelay/core';
import type { VirtualProcess } from '@vanillarelay/scenarios';
import { expect, it } from 'vitest';
import { createTestFleet } from './create-test-fleet.js';

const seeds = [1, 2, 3];
const logFiles = /^(log|snapshot|identity)/;
/** Duration of one write to a snapshot on a slow disk, in milliseconds. */
const slowWriteMs = 4_000;
const refuse = () => Promise.reject(new Error('ENOSPC: no space left on device'));

/** Watches the disks that a voter opens: which are open, and whether two are in use at once. */
function createDiskWatch() {
  const faults = { isSlow: false, isFull: false };
  const inUse: Disk[] = [];
  const seen = { opened: 0, closed: 0, overlaps: 0, slowWrites: 0 };

  const wrapDisk = (disk: Disk, process: VirtualProcess): Disk => {
    seen.opened += 1;
    const use = async (name: string, run: () => Promise<void>): Promise<void> => {
      if (!logFiles.test(name)) {
        await run();
        return;
      }
      if (inUse.some((other) => other !== disk)) seen.overlaps += 1;
      inUse.push(disk);
      try {
        await run();
      } finally {
        inUse.splice(inUse.indexOf(disk), 1);
      }
    };
    const append = async (name: string, bytes: Uint8Array): Promise<void> => {
      if (faults.isFull && name === 'log') return refuse();
      if (faults.isSlow && name === 'snapshot.new') {
        seen.slowWrites += 1;
        await process.clock.wait(slowWriteMs);
      }
      return disk.append(name, bytes);
    };
    return {
      ...disk,
      write: (name, bytes) => use(name, () => disk.write(name, bytes)),
      append: (name, bytes) => use(name, () => append(name, bytes)),
      sync: (name) => use(name, () => disk.sync(name)),
      rename: (from, to) => use(from, () => disk.rename(from, to)),
      close: async () => {
        seen.closed += 1;
        await disk.close();
      },
    };
  };
  return { wrapDisk, faults, seen };
}

// Guards against a node that is opened again while the one before it still writes a snapshot: both
// write the same file, which then counts as damaged, or the older log takes the newer one's place.
it.each(seeds)('opens a disk again only when nothing is written to it (seed %i)', async (seed) => {
  const watch = createDiskWatch();
  const fleet = createTestFleet({ seed, disks: 1, others: 1, snapshotBytes: 1_000, ...watch });
  fleet.startAll();
  await fleet.virtual.run(8_000);
  watch.faults.isSlow = true;
  await fleet.put('daemon-1', 1, 'x'.repeat(2_000));
  await fleet.virtual.run(200);
  expect(watch.seen.slowWrites).toBe(1);
  watch.faults.isFull = true;
  fleet
    .find('daemon-1')
    .node.propose({ type: 'putConfig', version: 2, source: 'y' })
    .catch(() => {});
  await fleet.virtual.run(1_000);
  watch.faults.isFull = false;
  await fleet.virtual.run(12_000);
  expect(watch.seen.overlaps).toBe(0);
  await fleet.put('daemon-1', 3);
  const { events } = fleet.find('daemon-0');
  const disks = events
    .filter(({ name }) => name === 'control.diskOpened')
    .map(({ details: { diskId } = {} }) => diskId);
  expect(disks.length).toBeGreaterThan(1);
  expect(new Set(disks).size).toBe(1);
});

// Guards against open files that add up, since each attempt to open a full disk keeps some.
it('closes a disk whenever it opens it again', async () => {
  const watch = createDiskWatch();
  const fleet = createTestFleet({ seed: 4, disks: 1, others: 1, ...watch });
  fleet.startAll();
  await fleet.virtual.run(8_000);
  const before = watch.seen.opened - watch.seen.closed;
  fleet.setFull('daemon-0', true);
  fleet
    .find('daemon-1')
    .node.propose({ type: 'putConfig', version: 1, source: 'y' })
    .catch(() => {});
  await fleet.virtual.run(6_000);
  fleet.setFull('daemon-0', false);
  await fleet.put('daemon-1', 2);
  expect(watch.seen.opened).toBeGreaterThan(before + 3);
  expect(watch.seen.opened - watch.seen.closed).toBe(before);
});
