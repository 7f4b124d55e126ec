import type { ChatId } from '../ids/chat-id.js';
import type { ServiceId } from '../ids/service-id.js';

/** Describes the cache of a chat on its way to another endpoint. */
export interface CacheTransfer {
  service: ServiceId;
  /** The chat with its account, as the engine is told it: `account/chat`. */
  chat: ChatId;
  /** Prompt tokens that the cache holds. */
  tokens: number;
}
