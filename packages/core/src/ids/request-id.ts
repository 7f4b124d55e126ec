import type { Id } from './id.js';

/** Identifies one request of a caller; all its attempts have the same id. */
export type RequestId = Id<'RequestId'>;
