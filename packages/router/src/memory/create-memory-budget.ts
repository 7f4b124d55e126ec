import { createMemoryPart } from './create-memory-part.js';
import type { MemoryBudget } from './memory-budget.js';

/** Share of the process's memory for what it holds for others; the rest is for its own state. */
const heldShare = 0.4;
/** Shares of that memory. */
const partShares: Record<keyof MemoryBudget, number> = {
  largeBodies: 0.75,
  smallBodies: 0.05,
  answers: 0.2,
};

/** Creates the budget of a process that may use `limitBytes` of memory. */
export function createMemoryBudget(limitBytes: number): MemoryBudget {
  const create = (part: keyof MemoryBudget) =>
    createMemoryPart(Math.floor(limitBytes * heldShare * partShares[part]));
  return {
    largeBodies: create('largeBodies'),
    smallBodies: create('smallBodies'),
    answers: create('answers'),
  };
}
