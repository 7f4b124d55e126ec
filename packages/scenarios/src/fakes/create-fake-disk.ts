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

/** Share of the empty files that a full disk takes. */
const emptyFileShare = 0.5;
/** Share of the syncs that fail on a full disk. */
const lateFailureShare = 0.3;

/** Creates an in-memory disk that loses unsynced data in a crash. */
export function createFakeDisk({ random, observe = () => {} }: FakeDiskOptions) {
  /** Files as the running process sees them, by name. */
  let names = new Map<string, FakeFile>();
  /** Files whose names survive a crash. */
  let syncedNames = new Map<string, FakeFile>();
  let isFull = false;

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

  /** Keeps the bytes that the disk takes: all, or a part followed by a failure when it is full. */
  const takeBytes = (bytes: Uint8Array, keep: (taken: Uint8Array) => void): void => {
    // File systems differ in whether they find room for an empty file.
    const takesAll = !isFull || (bytes.length === 0 && random() < emptyFileShare);
    keep(takesAll ? bytes : bytes.slice(0, Math.floor(random() * bytes.length)));
    if (!takesAll) throw buildNoSpaceError();
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
      takeBytes(bytes, (taken) => {
        file.content = new Uint8Array(Buffer.concat([file.content, taken]));
      });
    },
    write: async (name, bytes) => {
      observe('write', name);
      const file = findOrAdd(name);
      takeBytes(bytes, (taken) => {
        file.content = new Uint8Array(taken);
      });
    },
    truncate: async (name, length) => {
      observe('truncate', name);
      const file = find(name);
      file.content = file.content.slice(0, length);
    },
    sync: async (name) => {
      observe('sync', name);
      const file = find(name);
      // A file system that allocates late reports at the sync that there is no room.
      if (isFull && random() < lateFailureShare) throw buildNoSpaceError();
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
    close: async () => {},
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

  return {
    ...{ disk, crash, flipBit, wipe },
    /** Whether the disk refuses all bytes; reads, renames and removals go on. */
    setFull: (next: boolean): void => {
      isFull = next;
    },
  };
}

const buildNoSpaceError = () =>
  Object.assign(new Error('ENOSPC: no space left on device'), { code: 'ENOSPC' });
