import { createHash } from 'node:crypto';

/** The 32 bytes that stay of an expired record's key, as a string of one byte a character. */
export function hashRecordKey(key: string): string {
  return createHash('sha256').update(key).digest('binary');
}
