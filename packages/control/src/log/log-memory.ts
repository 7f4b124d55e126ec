import type { createLogMemory } from './create-log-memory.js';

/** Entries of the log in memory. */
export type LogMemory = ReturnType<typeof createLogMemory>;
