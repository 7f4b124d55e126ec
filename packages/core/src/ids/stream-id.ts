import type { Id } from './id.js';

/** Identifies the buffered answer of a resumable request at its agent. */
export type StreamId = Id<'StreamId'>;
