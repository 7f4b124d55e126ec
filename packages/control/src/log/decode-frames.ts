import { crc32 } from 'node:zlib';
import type { FileFrame } from './file-frame.js';
import { frameLayout } from './frame-layout.js';

interface DecodedFrames {
  frames: FileFrame[];
  /** Length of the file up to the end of the last valid frame. */
  validBytes: number;
  /** True when a frame that is present in full fails its checksum. */
  isDamaged: boolean;
}

/**
 * Decodes the frames of a file. A last frame that is shorter than its length field, or that the
 * file system left as zeros, is a torn write and is ignored. Any other mismatch is damage to data
 * that was synced.
 */
export function decodeFrames(file: Uint8Array): DecodedFrames {
  const bytes = Buffer.from(file.buffer, file.byteOffset, file.byteLength);
  const frames: FileFrame[] = [];
  let offset = 0;
  while (bytes.length - offset >= frameLayout.headerBytes) {
    const header = bytes.subarray(offset, offset + frameLayout.headerBytes);
    if (!isHeaderValid(header)) {
      return { frames, validBytes: offset, isDamaged: bytes.subarray(offset).some(Boolean) };
    }
    const end = offset + frameLayout.headerBytes + header.readUInt32LE(frameLayout.length);
    if (end > bytes.length) break;
    const payload = bytes.subarray(offset + frameLayout.headerBytes, end);
    if (crc32(payload) !== header.readUInt32LE(frameLayout.payloadCrc)) {
      return { frames, validBytes: offset, isDamaged: true };
    }
    frames.push({
      kind: header.readUInt32LE(frameLayout.kind),
      term: header.readDoubleLE(frameLayout.term),
      index: header.readDoubleLE(frameLayout.index),
      payload,
    });
    offset = end;
  }
  return { frames, validBytes: offset, isDamaged: false };
}

function isHeaderValid(header: Buffer): boolean {
  const crc = crc32(header.subarray(0, frameLayout.headerCrc));
  return crc === header.readUInt32LE(frameLayout.headerCrc);
}
