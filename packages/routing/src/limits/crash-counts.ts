import type { Fingerprint } from '@vanillarelay/core';

/** Number of endpoints that broke off while they ran a request, by fingerprint. */
export type CrashCounts = Record<Fingerprint, number>;
