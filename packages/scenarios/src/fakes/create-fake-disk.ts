import type { Disk, Random } from '@vanillarelay/core';

interface FakeFile {
  content: Uint8Array;
  /** Content that survives a crash. */
  synced: Uint8Array;
}

interface FakeDiskOptions {
  random: Random;
  /** Called before each operation; it may throw to fail the operation or crash the process. */
  observe?: (operation: string, name: string) => void;
}

/** Creates an in-memory disk that loses unsynced data in a crash. */
export function createFakeDisk({ random, observe = () => {} }: FakeDiskOptions) {
  /** Files as the running process sees them, by name. */
  let names = new Map<string, FakeFile>();
  /** Files whose names survive a crash. */
  let syncedNames = new Map<string, FakeFile>();

  const find = (name: string): FakeFile => {
    const file = names.get(name);
    if (!file) throw new Error(`no file '${name}'`);
    return file;
  };

  const findOrAdd = (name: string): FakeFile => {
    const file = names.get(name) ?? { content: new Uint8Array(), synced: new Uint8Array() };
    names.set(name, file);
    return file;
  };

  const disk: Disk = {
    read: async (name) => {
      observe('read', name);
      const content = names.get(name)?.content;
      return content && new Uint8Array(content);
    },
    append: async (name, bytes) => {
      observe('append', name);
      const file = findOrAdd(name);
      file.content = new Uint8Array(Buffer.concat([file.content, bytes]));
    },
    write: async (name, bytes) => {
      observe('write', name);
      findOrAdd(name).content = new Uint8Array(bytes);
    },
    truncate: async (name, length) => {
      observe('truncate', name);
      const file = find(name);
      file.content = file.content.slice(0, length);
    },
    sync: async (name) => {
      observe('sync', name);
      const file = find(name);
      file.synced = file.content.slice();
    },
    rename: async (from, to) => {
      observe('rename', from);
      names.set(to, find(from));
      names.delete(from);
    },
    syncFolder: async () => {
      observe('syncFolder', '');
      syncedNames = new Map(names);
    },
    remove: async (name) => {
      observe('remove', name);
      names.delete(name);
    },
    list: async () => {
      observe('list', '');
      return [...names.keys()].sort();
    },
  };

  /** Loses unsynced data; a random part of unsynced appended bytes may stay (a torn write). */
  const crash = (): void => {
    syncedNames.forEach((file) => {
      const { content, synced } = file;
      const isAppended =
        content.length > synced.length &&
        Buffer.compare(content.slice(0, synced.length), synced) === 0;
      const kept = isAppended
        ? synced.length + Math.floor(random() * (content.length - synced.length + 1))
        : 0;
      file.content = isAppended ? content.slice(0, kept) : synced.slice();
      file.synced = file.content.slice();
    });
    names = new Map(syncedNames);
  };

  /** Flips the lowest bit of one byte of a file, as a failing storage device may. */
  const flipBit = (name: string, byte: number): void => {
    const file = find(name);
    const flip = (bytes: Uint8Array) => {
      const copy = bytes.slice();
      // eslint-disable-next-line no-bitwise -- flips the lowest bit
      copy[byte] = (copy[byte] ?? 0) ^ 1;
      return copy;
    };
    file.content = flip(file.content);
    file.synced = flip(file.synced);
  };

  /** Removes all files, synced ones included. */
  const wipe = (): void => {
    names = new Map();
    syncedNames = new Map();
  };

  return { disk, crash, flipBit, wipe };
}
