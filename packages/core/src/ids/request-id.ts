import type { Id } from './id.js';

/** Names one caller request; stays the same over its attempts. */
export type RequestId = Id<'RequestId'>;
