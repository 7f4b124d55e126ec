import { encodeFrame } from './encode-frame.js';
import { FrameKind } from './frame-kind.js';
import type { LogEntry } from './log-entry.js';

const timestampBytes = 8;

/** Encodes an entry as a frame whose payload is the time stamp, then the data. */
export function encodeEntry({ kind, term, index, at, data }: LogEntry): Uint8Array {
  const payload = Buffer.alloc(timestampBytes + Buffer.byteLength(data));
  payload.writeDoubleLE(at, 0);
  payload.write(data, timestampBytes);
  return encodeFrame({ kind: FrameKind[kind], term, index, payload });
}
