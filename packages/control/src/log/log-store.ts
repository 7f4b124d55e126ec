import type { openLogStore } from './open-log-store.js';

/** The durable log of one node with its hard state and its snapshot. */
export type LogStore = Awaited<ReturnType<typeof openLogStore>>;
