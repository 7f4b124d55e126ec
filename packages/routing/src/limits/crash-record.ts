import type { createCrashRecord } from './create-crash-record.js';

/** The record of requests that may crash their endpoints. */
export type CrashRecord = ReturnType<typeof createCrashRecord>;
