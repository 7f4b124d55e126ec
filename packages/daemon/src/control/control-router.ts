import type { createControlRouter } from './create-control-router.js';

/** Type of a control node's tRPC router. */
export type ControlRouter = ReturnType<typeof createControlRouter>;
