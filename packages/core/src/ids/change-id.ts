import type { Id } from './id.js';

/** Identifies an operator's change, so that sending it again returns the first answer. */
export type ChangeId = Id<'ChangeId'>;
