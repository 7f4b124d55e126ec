import type { Fingerprint } from '@vanillarelay/core';

/**
 * Number of possible endpoint crashes while a request was running, by the request's fingerprint.
 */
export type CrashCounts = Record<Fingerprint, number>;
