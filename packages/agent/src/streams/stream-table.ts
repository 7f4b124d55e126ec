import type { createStreamTable } from './create-stream-table.js';

/** The answers that can be resumed. */
export type StreamTable = ReturnType<typeof createStreamTable>;
