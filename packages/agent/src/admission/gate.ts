import type { createGate } from './create-gate.js';

/** The rules that close an endpoint to all new work. */
export type Gate = ReturnType<typeof createGate>;
