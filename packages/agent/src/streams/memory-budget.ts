/**
 * Memory that all buffered streams of an agent share. Chunks are added even above the limit; while
 * it is exceeded, chunks that were read are no longer kept, the oldest ended streams are removed
 * when another ends, and reading from endpoints pauses until the reader has caught up.
 */
export interface MemoryBudget {
  limitBytes: number;
  usedBytes: number;
}
