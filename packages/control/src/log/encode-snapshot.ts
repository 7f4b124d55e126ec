import { encodeJsonFrame } from './encode-json-frame.js';
import { FrameKind } from './frame-kind.js';
import type { Snapshot } from './snapshot.js';

/** Encodes a snapshot file frame by frame: a head, each part, and an end with their count. */
export function* encodeSnapshot(head: Snapshot, parts: Iterable<string>): Generator<Uint8Array> {
  let count = 0;
  yield encodeJsonFrame(FrameKind.snapshotHead, head);
  for (const part of parts) {
    count += 1;
    yield encodeJsonFrame(FrameKind.snapshotPart, part);
  }
  yield encodeJsonFrame(FrameKind.snapshotEnd, count);
}
