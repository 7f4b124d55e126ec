import { createHash } from 'node:crypto';

/** Hash that is kept of an expired record's key: 32 bytes, as a string with one per character. */
export function hashRecordKey(key: string): string {
  return createHash('sha256').update(key).digest('binary');
}
