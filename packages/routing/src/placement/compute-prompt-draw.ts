import type { Hash } from '@vanillarelay/core';

const hashRange = 2 ** 32;

/** Computes a number from 0 to below 1 for a prompt, which is the same at every router. */
export function computePromptDraw(hash: Hash, key: string): number {
  return hash(`share ${key}`) / hashRange;
}
