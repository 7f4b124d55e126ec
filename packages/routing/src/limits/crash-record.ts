import type { createCrashRecord } from './create-crash-record.js';

/** Counts crashes of endpoints by the request that was running. */
export type CrashRecord = ReturnType<typeof createCrashRecord>;
