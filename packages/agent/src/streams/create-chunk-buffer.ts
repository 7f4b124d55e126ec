import type { MemoryBudget } from './memory-budget.js';

/** Creates the buffer of an answer's chunks, which are numbered in sequence. */
export function createChunkBuffer(budget: MemoryBudget) {
  let chunks: Uint8Array[] = [];
  /** Sequence of `chunks[0]`; the first chunk of an answer is number 1. */
  let first = 1;

  const push = (chunk: Uint8Array): void => {
    chunks.push(chunk);
    budget.usedBytes += chunk.length;
  };

  /** Removes all chunks up to and including a sequence. */
  const removeUntil = (sequence: number): void => {
    const count = Math.min(chunks.length, Math.max(0, sequence - first + 1));
    if (count === 0) return;
    chunks.slice(0, count).forEach((chunk) => {
      budget.usedBytes -= chunk.length;
    });
    chunks = chunks.slice(count);
    first += count;
  };

  return {
    push,
    removeUntil,
    find: (sequence: number): Uint8Array | undefined => chunks[sequence - first],
    /** Whether the chunk after `sequence` is in the buffer or is the next one to be added. */
    hasAfter: (sequence: number): boolean =>
      sequence + 1 >= first && sequence < first + chunks.length,
    countBytesAfter: (sequence: number): number =>
      chunks.slice(Math.max(0, sequence - first + 1)).reduce((sum, chunk) => sum + chunk.length, 0),
    /** Returns the sequence of the next chunk to be added. */
    readNext: (): number => first + chunks.length,
  };
}
