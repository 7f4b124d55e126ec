import type { createRecords } from './create-records.js';

/** The client for the records of non-idempotent requests. */
export type Records = ReturnType<typeof createRecords>;
