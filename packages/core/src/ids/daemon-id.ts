import type { Id } from './id.js';

/** Identifies a process of the system: an entry, an agent or a control node. */
export type DaemonId = Id<'DaemonId'>;
