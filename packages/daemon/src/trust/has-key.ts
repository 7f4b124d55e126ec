import { createHash, timingSafeEqual } from 'node:crypto';

/** Longer keys are not hashed, so that a client without a key cannot cause costly hashing. */
const maxKeyLength = 1_024;

/** Whether a presented key is valid. It is compared with every valid key, in constant time. */
export function hasKey(keys: readonly string[], presented: string | undefined): boolean {
  if (!presented || presented.length > maxKeyLength) return false;
  const presentedHash = hash(presented);
  return keys.filter((key) => timingSafeEqual(hash(key), presentedHash)).length > 0;
}

function hash(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
