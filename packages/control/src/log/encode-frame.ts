import { crc32 } from 'node:zlib';
import type { FileFrame } from './file-frame.js';
import { frameLayout } from './frame-layout.js';

/** Encodes a frame: the header as in `frameLayout`, then the payload. */
export function encodeFrame({ kind, term, index, payload }: FileFrame): Uint8Array {
  const bytes = Buffer.alloc(frameLayout.headerBytes + payload.length);
  bytes.writeUInt32LE(payload.length, frameLayout.length);
  bytes.writeUInt32LE(kind, frameLayout.kind);
  bytes.writeDoubleLE(term, frameLayout.term);
  bytes.writeDoubleLE(index, frameLayout.index);
  bytes.writeUInt32LE(crc32(payload), frameLayout.payloadCrc);
  bytes.writeUInt32LE(crc32(bytes.subarray(0, frameLayout.headerCrc)), frameLayout.headerCrc);
  bytes.set(payload, frameLayout.headerBytes);
  return bytes;
}
