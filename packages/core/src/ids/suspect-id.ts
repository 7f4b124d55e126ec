import type { Id } from './id.js';

/** Identifies what may crash endpoints: the content of a request, or one part of its prompt. */
export type SuspectId = Id<'SuspectId'>;
