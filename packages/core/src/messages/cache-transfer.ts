import type { ChatId } from '../ids/chat-id.js';
import type { ServiceId } from '../ids/service-id.js';

/** Describes the cache of a chat that is transferred to another endpoint. */
export interface CacheTransfer {
  service: ServiceId;
  /** The chat with its account, in the form that the engine receives: `account/chat`. */
  chat: ChatId;
  /** Number of prompt tokens in the cache. */
  tokens: number;
}
