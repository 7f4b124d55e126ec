/** The memory limit that all buffered streams of an agent share, with the bytes in use. */
export interface MemoryBudget {
  limitBytes: number;
  usedBytes: number;
}
