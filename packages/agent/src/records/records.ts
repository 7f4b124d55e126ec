import type { createRecords } from './create-records.js';

/** The agent's side of the records of non-idempotent requests. */
export type Records = ReturnType<typeof createRecords>;
