import type { ChatId } from '../ids/chat-id.js';
import type { ServiceId } from '../ids/service-id.js';

/** Describes the cache of a chat on its way to another endpoint. */
export interface CacheTransfer {
  service: ServiceId;
  /** The chat with its account: `account/chat`. */
  chat: ChatId;
  /** The chat as its engine names it. */
  engineChat: string;
  /** Prompt tokens that the cache holds. */
  tokens: number;
}
