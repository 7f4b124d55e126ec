import type { createLog } from './create-log.js';

/** The structured log of a daemon. */
export type Log = ReturnType<typeof createLog>;
