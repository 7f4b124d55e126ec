import type { createHub } from './create-hub.js';

/** A daemon's hub, as `createHub` returns it. */
export type Hub = ReturnType<typeof createHub>;
