import { encodeFrame } from './encode-frame.js';

/** Encodes a value as JSON in a frame. */
export function encodeJsonFrame(kind: number, value: unknown): Uint8Array {
  return encodeFrame({ kind, term: 0, index: 0, payload: Buffer.from(JSON.stringify(value)) });
}
