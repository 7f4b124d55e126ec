import { decodeFrames } from './decode-frames.js';
import { decodeJsonFrame } from './decode-json-frame.js';
import { FrameKind } from './frame-kind.js';
import type { Snapshot } from './snapshot.js';

interface DecodedSnapshot {
  head: Snapshot;
  parts: string[];
}

/** Decodes a snapshot file; undefined when any part of it is missing or damaged. */
export function decodeSnapshot(file: Uint8Array): DecodedSnapshot | undefined {
  const { frames, validBytes, isDamaged } = decodeFrames(file);
  const head = frames[0];
  const end = frames.at(-1);
  if (isDamaged || validBytes !== file.length || !head || !end) return undefined;
  if (head.kind !== FrameKind.snapshotHead || end.kind !== FrameKind.snapshotEnd) return undefined;
  const parts = frames.slice(1, -1).map((frame) => decodeJsonFrame<string>(frame));
  if (decodeJsonFrame<number>(end) !== parts.length) return undefined;
  return { head: decodeJsonFrame<Snapshot>(head), parts };
}
