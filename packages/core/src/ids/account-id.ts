import type { Id } from './id.js';

/** Names a client account. */
export type AccountId = Id<'AccountId'>;
