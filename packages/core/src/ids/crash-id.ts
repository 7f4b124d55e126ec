import type { Id } from './id.js';

/** Identifies one crash: that of one process of an endpoint, which can crash only once. */
export type CrashId = Id<'CrashId'>;
