import type { Id } from './id.js';

/** Names an operator's change, so that a resend gets the first answer. */
export type ChangeId = Id<'ChangeId'>;
