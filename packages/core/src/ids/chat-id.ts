import type { Id } from './id.js';

/** Names a chat, unique within its client account. */
export type ChatId = Id<'ChatId'>;
