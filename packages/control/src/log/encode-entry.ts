import { encodeFrame } from './encode-frame.js';
import { FrameKind } from './frame-kind.js';
import type { LogEntry } from './log-entry.js';

const stampBytes = 8;

/** Encodes an entry as a frame: its time, then its data. */
export function encodeEntry({ kind, term, index, at, data }: LogEntry): Uint8Array {
  const payload = Buffer.alloc(stampBytes + Buffer.byteLength(data));
  payload.writeDoubleLE(at, 0);
  payload.write(data, stampBytes);
  return encodeFrame({ kind: FrameKind[kind], term, index, payload });
}
