import { encodeJsonFrame } from './encode-json-frame.js';
import { FrameKind } from './frame-kind.js';
import type { Snapshot } from './snapshot.js';

/** Encodes a snapshot file: a head, one frame for each part, an end that counts the parts. */
export function encodeSnapshot({ parts, ...head }: Snapshot): Uint8Array {
  return Buffer.concat([
    encodeJsonFrame(FrameKind.snapshotHead, head),
    ...parts.map((part) => encodeJsonFrame(FrameKind.snapshotPart, part)),
    encodeJsonFrame(FrameKind.snapshotEnd, parts.length),
  ]);
}
