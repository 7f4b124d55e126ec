import type { createEngineMemory } from './create-engine-memory.js';

/** Tokens that requests in flight hold at engines. */
export type EngineMemory = ReturnType<typeof createEngineMemory>;
