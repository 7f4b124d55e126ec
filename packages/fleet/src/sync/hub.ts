import type { createHub } from './create-hub.js';

/** The hub of a daemon. */
export type Hub = ReturnType<typeof createHub>;
