import type { FileFrame } from './file-frame.js';

/** Decodes the JSON of a frame that passed its checksum. */
export function decodeJsonFrame<T>({ payload }: FileFrame): T {
  return JSON.parse(Buffer.from(payload).toString('utf8')) as T;
}
