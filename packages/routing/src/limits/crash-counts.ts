import type { Fingerprint } from '@vanillarelay/core';

/** How often a request was lost with the endpoint that ran it. */
export type CrashCounts = Record<Fingerprint, number>;
