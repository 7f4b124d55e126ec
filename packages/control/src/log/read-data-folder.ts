import type { Disk } from '@vanillarelay/core';
import { decodeEntry } from './decode-entry.js';
import { decodeFrames } from './decode-frames.js';
import { decodeJsonFrame } from './decode-json-frame.js';
import { decodeSnapshot } from './decode-snapshot.js';
import type { DiskIdentity } from './disk-identity.js';
import { FileName } from './file-name.js';
import { FrameKind } from './frame-kind.js';
import type { HardState } from './hard-state.js';
import type { LogEntry } from './log-entry.js';
import type { Snapshot } from './snapshot.js';

interface DataFolder {
  /** `empty`: a first start. `damaged`: the content must not be used. */
  status: 'empty' | 'whole' | 'damaged';
  reason?: string;
  identity?: DiskIdentity;
  hardState?: HardState;
  snapshot?: Snapshot;
  /** State in the snapshot, as JSON parts. */
  parts: string[];
  snapshotBytes: number;
  entries: LogEntry[];
  /** Length of the log file without a torn last frame. */
  logBytes: number;
  isTorn: boolean;
}

const noContent = { parts: [], snapshotBytes: 0, entries: [], logBytes: 0, isTorn: false };

/** Reads and checks the files that the last run of a node left on the disk. */
export async function readDataFolder(disk: Disk): Promise<DataFolder> {
  const identityFile = await disk.read(FileName.identity);
  const logFile = await disk.read(FileName.log);
  // A first start writes the identity last, before any vote or acknowledgement, and it is kept from
  // then on. A log without an identity therefore means that no vote was ever granted.
  if (!identityFile) {
    const hasHistory = (logFile && logFile.length > 0) || (await disk.read(FileName.snapshot));
    return hasHistory
      ? buildDamagedFolder('the identity is missing')
      : { ...noContent, status: 'empty' };
  }
  if (!logFile) return buildDamagedFolder('the log is missing');
  const identity = readIdentity(identityFile);
  if (!identity) return buildDamagedFolder('the identity is damaged');
  const log = decodeFrames(logFile);
  if (log.isDamaged) return buildDamagedFolder(`the log is damaged at byte ${log.validBytes}`);
  const snapshotFile = await disk.read(FileName.snapshot);
  const decoded = snapshotFile && decodeSnapshot(snapshotFile);
  if (snapshotFile && !decoded) return buildDamagedFolder('the snapshot is damaged');
  const snapshot = decoded?.head;
  const entries = replayEntries(log.frames.flatMap((frame) => decodeEntry(frame) ?? []));
  const first = entries[0];
  if (first && first.index > (snapshot?.index ?? 0) + 1) {
    return buildDamagedFolder(`entries ${snapshot?.index ?? 0} to ${first.index} are missing`);
  }
  const hardStateFrame = log.frames.filter(({ kind }) => kind === FrameKind.hardState).at(-1);
  return {
    status: 'whole',
    identity,
    ...(hardStateFrame ? { hardState: decodeJsonFrame<HardState>(hardStateFrame) } : {}),
    ...(snapshot ? { snapshot } : {}),
    parts: decoded?.parts ?? [],
    snapshotBytes: snapshotFile?.length ?? 0,
    entries,
    logBytes: log.validBytes,
    isTorn: log.validBytes < logFile.length,
  };
}

function buildDamagedFolder(reason: string): DataFolder {
  return { ...noContent, status: 'damaged', reason };
}

function readIdentity(file: Uint8Array): DiskIdentity | undefined {
  const { frames, isDamaged, validBytes } = decodeFrames(file);
  const frame = frames[0];
  if (isDamaged || validBytes !== file.length || frame?.kind !== FrameKind.identity) {
    return undefined;
  }
  return decodeJsonFrame<DiskIdentity>(frame);
}

/** Replays the entries in file order: an entry replaces the one at its index and all after it. */
function replayEntries(written: LogEntry[]): LogEntry[] {
  const entries: LogEntry[] = [];
  written.forEach((entry) => {
    const first = entries[0]?.index ?? entry.index;
    entries.length = Math.max(0, Math.min(entries.length, entry.index - first));
    entries.push(entry);
  });
  return entries;
}
