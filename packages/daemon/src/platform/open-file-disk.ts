import { mkdir, open, readdir, readFile, rename, rm, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import type { Disk } from '@vanillarelay/core';

const namePattern = /^[a-z0-9][a-z0-9.-]*$/;

/** Opens a data folder as a `Disk`. Only one process may use a folder at a time. */
export async function openFileDisk(folder: string): Promise<Disk> {
  await mkdir(folder, { recursive: true });
  /** Files stay open between writes, so that an append and a sync cost one system call each. */
  const handles = new Map<string, FileHandle>();

  const toPath = (name: string): string => {
    if (!namePattern.test(name)) throw new Error(`invalid file name '${name}'`);
    return join(folder, name);
  };

  const openFile = async (name: string): Promise<FileHandle> => {
    const handle = handles.get(name) ?? (await open(toPath(name), 'a'));
    handles.set(name, handle);
    return handle;
  };

  const closeFile = async (name: string): Promise<void> => {
    const handle = handles.get(name);
    handles.delete(name);
    await handle?.close();
  };

  return {
    read: async (name) => {
      try {
        return new Uint8Array(await readFile(toPath(name)));
      } catch (error) {
        if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
        throw error;
      }
    },
    append: async (name, bytes) => {
      await (await openFile(name)).appendFile(bytes);
    },
    write: async (name, bytes) => {
      await closeFile(name);
      const handle = await open(toPath(name), 'w');
      handles.set(name, handle);
      await handle.writeFile(bytes);
    },
    truncate: async (name, length) => {
      await (await openFile(name)).truncate(length);
    },
    sync: async (name) => {
      await (await openFile(name)).sync();
    },
    rename: async (from, to) => {
      await closeFile(from);
      await closeFile(to);
      await rename(toPath(from), toPath(to));
    },
    syncFolder: async () => {
      const handle = await open(folder, 'r');
      try {
        await handle.sync();
      } finally {
        await handle.close();
      }
    },
    remove: async (name) => {
      await closeFile(name);
      await rm(toPath(name));
    },
    close: async () => {
      for (const name of [...handles.keys()]) await closeFile(name);
    },
    list: async () => (await readdir(folder)).filter((name) => namePattern.test(name)).sort(),
  };
}
