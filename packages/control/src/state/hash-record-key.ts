import { createHash } from 'node:crypto';

/** The 32 bytes kept of an expired record's key, as a string with one byte per character. */
export function hashRecordKey(key: string): string {
  return createHash('sha256').update(key).digest('binary');
}
