/** Bytes that all buffered streams of the agent may hold together. */
export interface MemoryBudget {
  limitBytes: number;
  usedBytes: number;
}
