import type { Disk } from '@vanillarelay/core';
import { createLogMemory } from './create-log-memory.js';
import { createLogWriter } from './create-log-writer.js';
import type { DiskIdentity } from './disk-identity.js';
import { encodeEntry } from './encode-entry.js';
import { encodeJsonFrame } from './encode-json-frame.js';
import { encodeSnapshot } from './encode-snapshot.js';
import { FileName } from './file-name.js';
import { FrameKind } from './frame-kind.js';
import type { HardState } from './hard-state.js';
import type { LogEntry } from './log-entry.js';
import { readDataFolder } from './read-data-folder.js';
import type { Snapshot } from './snapshot.js';
import { replaceFile } from './replace-file.js';
import { toTemporaryName } from './to-temporary-name.js';

interface LogStoreOptions {
  disk: Disk;
  createDiskId: () => string;
  /** Called once when the disk fails; the node must stop permanently. */
  reportFailure: (error: Error) => void;
}

/**
 * Limits of the entries that stay in the log although a snapshot covers them, for followers that
 * are only a little behind.
 */
const maxRetainedEntries = 1_000;
const maxRetainedBytes = 1024 * 1024;
const emptyHardState: HardState = { term: 0, incarnations: {} };

/** Opens the log of a node; a damaged log or an older copy is removed and the node starts empty. */
export async function openLogStore({ disk, createDiskId, reportFailure }: LogStoreOptions) {
  await removeLeftovers(disk);
  const found = await readDataFolder(disk);
  const isUsable = found.status === 'whole' && !found.hardState?.isStale;
  if (!isUsable) await removeFiles(disk, found.status);
  if (isUsable && found.isTorn) await disk.truncate(FileName.log, found.logBytes);
  // What was read may never have been synced, and it counts as durable from now on.
  if (isUsable) await disk.sync(FileName.log);
  const identity = await writeIdentity(disk, isUsable ? found.identity : undefined, createDiskId);

  let hardState = (isUsable && found.hardState) || emptyHardState;
  let snapshot = isUsable ? found.snapshot : undefined;
  let snapshotBytes = isUsable ? found.snapshotBytes : 0;
  const entries = isUsable ? selectConnected(found.entries, snapshot) : [];
  const base = findBase(entries, snapshot);
  const memory = createLogMemory(base);
  entries.filter(({ index }) => index > base.index).forEach((entry) => memory.add(entry));
  const writer = createLogWriter({ disk, reportFailure });
  let snapshotWrite: Promise<void> = Promise.resolve();
  let isClosed = false;

  const buildLogFile = (): Uint8Array =>
    Buffer.concat([
      encodeJsonFrame(FrameKind.hardState, hardState),
      ...memory.list().map((entry) => encodeEntry(entry)),
    ]);

  // New entries must not follow those of a log that the snapshot replaced.
  const isReplaced = isUsable && entries.length < found.entries.length;
  if (isReplaced) await replaceFile(disk, FileName.log, [buildLogFile()]);
  let logBytes = isReplaced ? 0 : found.logBytes;

  const push = (bytes: Uint8Array): Promise<void> => {
    logBytes += bytes.length;
    return writer.push(bytes);
  };

  const writeSnapshot = async (next: Snapshot, parts: Iterable<string>): Promise<void> => {
    if (isClosed) throw new Error('the log is closed');
    let bytes = 0;
    function* encodeChunks() {
      for (const chunk of encodeSnapshot(next, parts)) {
        bytes += chunk.length;
        yield chunk;
      }
    }
    const written = replaceFile(disk, FileName.snapshot, encodeChunks());
    snapshotWrite = written.catch(writer.fail);
    await written;
    snapshot = next;
    snapshotBytes = bytes;
    logBytes = 0;
  };

  return {
    identity,
    /** Why the content of the disk was removed, if it was. */
    removalReason: found.hardState?.isStale
      ? 'peers know a newer state of this disk'
      : found.reason,
    memory,
    readHardState: () => hardState,
    /** Takes effect at once; durable when the promise resolves. */
    saveHardState: (next: HardState): Promise<void> => {
      hardState = next;
      return push(encodeJsonFrame(FrameKind.hardState, next));
    },
    append: (entry: LogEntry): Promise<void> => {
      memory.add(entry);
      return push(encodeEntry(entry));
    },
    sync: writer.sync,
    /** Resolves when nothing is being written any more, so that the log may be opened again. */
    close: async (): Promise<void> => {
      isClosed = true;
      await Promise.all([writer.close(), snapshotWrite]);
    },
    readSnapshot: () => snapshot,
    readSnapshotFile: () => disk.read(FileName.snapshot),
    countSnapshotBytes: () => snapshotBytes,
    /** State of the snapshot found on the disk at the start; only the first call returns it. */
    takeSnapshotParts: () => found.parts.splice(0),
    /** Bytes written to the log since the last snapshot. */
    countLogBytes: () => logBytes,
    /** Stores a snapshot of the applied state and drops most of the entries that it covers. */
    compact: async (next: Snapshot, parts: Iterable<string>): Promise<void> => {
      await writeSnapshot(next, parts);
      memory.removeUpTo(findCompactionIndex(memory.list(), next.index));
      await writer.rewrite(buildLogFile);
    },
    /** Replaces the log and the snapshot by the leader's snapshot. */
    install: async (next: Snapshot, parts: Iterable<string>): Promise<void> => {
      await writer.sync();
      await writeSnapshot(next, parts);
      if (memory.findTerm(next.index) === next.term) memory.removeUpTo(next.index);
      else memory.reset({ index: next.index, term: next.term });
      await writer.rewrite(buildLogFile);
    },
  };
}

/** Removes what an unfinished replacement left, which may be what fills the disk. */
async function removeLeftovers(disk: Disk): Promise<void> {
  const leftovers = Object.values(FileName).map(toTemporaryName);
  for (const name of await disk.list()) if (leftovers.includes(name)) await disk.remove(name);
}

/** Removes damaged or outdated content, since a node must not vote or lead with any of it. */
async function removeFiles(disk: Disk, status: 'empty' | 'whole' | 'damaged'): Promise<void> {
  if (status === 'empty') return;
  // The identity is removed first: files without one count as damaged at the next start.
  const names = (await disk.list()).filter((name) => name !== FileName.identity);
  if (await disk.read(FileName.identity)) names.unshift(FileName.identity);
  for (const name of names) {
    await disk.remove(name);
    await disk.syncFolder();
  }
}

async function writeIdentity(
  disk: Disk,
  last: DiskIdentity | undefined,
  createDiskId: () => string,
): Promise<DiskIdentity> {
  if (!last) await replaceFile(disk, FileName.log, []);
  const identity = last
    ? { ...last, incarnation: last.incarnation + 1 }
    : { diskId: createDiskId(), incarnation: 1 };
  await replaceFile(disk, FileName.identity, [encodeJsonFrame(FrameKind.identity, identity)]);
  return identity;
}

/** The entries if they continue the snapshot; none if they are of a log that it replaced. */
function selectConnected(entries: LogEntry[], snapshot: Snapshot | undefined): LogEntry[] {
  if (!snapshot) return entries;
  const overlap = entries.find(({ index }) => index === snapshot.index);
  const first = entries[0];
  if (overlap) return overlap.term === snapshot.term ? entries : [];
  return first?.index === snapshot.index + 1 ? entries : [];
}

function findBase(entries: LogEntry[], snapshot: Snapshot | undefined) {
  const first = entries[0];
  const start = { index: snapshot?.index ?? 0, term: snapshot?.term ?? 0 };
  // The term before the first kept entry is not stored, so that entry becomes the base.
  if (!first || first.index === start.index + 1) return start;
  return { index: first.index, term: first.term };
}

/** Index up to which a snapshot lets the log drop its entries. */
function findCompactionIndex(entries: readonly LogEntry[], snapshotIndex: number): number {
  let index = snapshotIndex;
  let bytes = 0;
  let count = 0;
  for (let position = entries.length - 1; position >= 0; position -= 1) {
    const entry = entries[position];
    if (!entry) break;
    if (entry.index <= snapshotIndex) {
      bytes += entry.data.length;
      count += 1;
      if (bytes > maxRetainedBytes || count > maxRetainedEntries) break;
      index = entry.index - 1;
    }
  }
  return index;
}
