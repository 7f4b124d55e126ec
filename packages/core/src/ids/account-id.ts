import type { Id } from './id.js';

/** Identifies a client account. */
export type AccountId = Id<'AccountId'>;
