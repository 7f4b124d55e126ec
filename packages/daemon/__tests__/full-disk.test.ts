import { mkdtemp, readdir, readlink, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { openLogStore } from '@vanillarelay/control';
import type { Disk } from '@vanillarelay/core';
import { openFileDisk } from '@vanillarelay/daemon';
import { afterEach, expect, it } from 'vitest';

const folders: string[] = [];

afterEach(async () => {
  await Promise.all(folders.splice(0).map((folder) => rm(folder, { recursive: true })));
});

async function createFolder(): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'full-disk-'));
  folders.push(folder);
  return folder;
}

/** Files of a folder that this process has open. */
async function listOpenFiles(folder: string): Promise<string[]> {
  const descriptors = await readdir('/proc/self/fd');
  const targets = descriptors.map((name) => readlink(`/proc/self/fd/${name}`).catch(() => ''));
  return (await Promise.all(targets)).filter((target) => target.startsWith(folder));
}

/** A disk that takes only half of what is appended while `isFull` says so. */
function wrapFullDisk(disk: Disk, isFull: () => boolean): Disk {
  return {
    ...disk,
    append: async (name, bytes) => {
      if (!isFull()) {
        await disk.append(name, bytes);
        return;
      }
      await disk.append(name, bytes.slice(0, bytes.length / 2));
      throw new Error('ENOSPC: no space left on device');
    },
  };
}

const buildEntry = (index: number) => ({
  ...{ term: 1, index, at: index, kind: 'command' as const },
  data: `entry ${index}`,
});

// Guards against a real disk on which a part of a write, or an open file, outlives the failure.
it('goes on with a real disk that was full, without a torn entry or an open file', async () => {
  const folder = await createFolder();
  let isFull = false;
  const open = async () => {
    const disk = wrapFullDisk(await openFileDisk(folder), () => isFull);
    const store = openLogStore({ disk, createDiskId: () => 'disk-1', reportFailure: () => {} });
    return { disk, store };
  };
  for (let index = 1; index <= 5; index += 1) {
    const { disk, store } = await open();
    const log = await store;
    await log.append(buildEntry(index));
    isFull = true;
    await expect(log.append(buildEntry(index + 1))).rejects.toThrow('ENOSPC');
    await log.close();
    await disk.close();
    const failed = await open();
    await expect(failed.store).rejects.toThrow('ENOSPC');
    await failed.disk.close();
    isFull = false;
    expect(await listOpenFiles(folder)).toEqual([]);
  }
  const { disk, store } = await open();
  const { memory, identity } = await store;
  expect(memory.readLast().index).toBe(5);
  expect(identity).toEqual({ diskId: 'disk-1', incarnation: 6 });
  await disk.close();
});
