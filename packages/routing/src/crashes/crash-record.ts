import type { createCrashRecord } from './create-crash-record.js';

/** Record of what may crash endpoints. */
export type CrashRecord = ReturnType<typeof createCrashRecord>;
