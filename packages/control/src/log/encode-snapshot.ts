import { encodeJsonFrame } from './encode-json-frame.js';
import { FrameKind } from './frame-kind.js';
import type { Snapshot } from './snapshot.js';

/**
 * Yields the frames of a snapshot file: the head with its metadata, each part of the state, and an
 * end frame with the number of parts.
 */
export function* encodeSnapshot(head: Snapshot, parts: Iterable<string>): Generator<Uint8Array> {
  let count = 0;
  yield encodeJsonFrame(FrameKind.snapshotHead, head);
  for (const part of parts) {
    count += 1;
    yield encodeJsonFrame(FrameKind.snapshotPart, part);
  }
  yield encodeJsonFrame(FrameKind.snapshotEnd, count);
}
