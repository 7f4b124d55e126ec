import type { createRefusalMemory } from './create-refusal-memory.js';

/** Refused requests that may come back. */
export type RefusalMemory = ReturnType<typeof createRefusalMemory>;
