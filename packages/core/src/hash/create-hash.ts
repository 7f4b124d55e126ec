import xxhash from 'xxhash-wasm';
import type { Hash } from './hash.js';

/** Loads the hash function (32-bit xxHash). */
export async function createHash(): Promise<Hash> {
  const { h32 } = await xxhash();
  return (text) => h32(text);
}
