import type { createGate } from './create-gate.js';

/** Refuses all new work while the endpoint must not get any. */
export type Gate = ReturnType<typeof createGate>;
