import type { MemoryPart } from './memory-part.js';

/** What a process may hold for others, divided by purpose, so that none takes another's share. */
export interface MemoryBudget {
  largeBodies: MemoryPart;
  /** Bodies that are served while large ones wait. */
  smallBodies: MemoryPart;
  /** Answers that are not complete, or that their callers have not read. */
  answers: MemoryPart;
}
