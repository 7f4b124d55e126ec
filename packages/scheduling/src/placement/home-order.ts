import type { createHomeOrder } from './create-home-order.js';

/** The weighted rendezvous order of the prompts of one service. */
export type HomeOrder = ReturnType<typeof createHomeOrder>;
