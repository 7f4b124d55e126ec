import type { Id } from './id.js';

/** Identifies one attempt to run a request at an agent. */
export type AttemptId = Id<'AttemptId'>;
