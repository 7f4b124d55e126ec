import type { FileFrame } from './file-frame.js';
import { FrameKind } from './frame-kind.js';
import type { LogEntry } from './log-entry.js';

const timestampBytes = 8;
const kinds = new Map<number, LogEntry['kind']>([
  [FrameKind.command, 'command'],
  [FrameKind.group, 'group'],
  [FrameKind.empty, 'empty'],
]);

/** Decodes a frame that holds an entry; undefined for frames of another kind. */
export function decodeEntry({ kind, term, index, payload }: FileFrame): LogEntry | undefined {
  const entryKind = kinds.get(kind);
  if (!entryKind) return undefined;
  const bytes = Buffer.from(payload.buffer, payload.byteOffset, payload.byteLength);
  return {
    term,
    index,
    at: bytes.readDoubleLE(0),
    kind: entryKind,
    data: bytes.toString('utf8', timestampBytes),
  };
}
