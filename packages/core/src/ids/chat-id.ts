import type { Id } from './id.js';

/** Identifies a chat, unique within its client account. */
export type ChatId = Id<'ChatId'>;
