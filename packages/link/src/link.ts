import type { createLink } from './create-link.js';

/** A daemon's side of the exchange with control. */
export type Link = ReturnType<typeof createLink>;
