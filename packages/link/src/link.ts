import type { createLink } from './create-link.js';

/** A daemon's link to the control nodes, as `createLink` returns it. */
export type Link = ReturnType<typeof createLink>;
