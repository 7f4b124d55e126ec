import type { ChatId } from '../ids/chat-id.js';
import type { EndpointId } from '../ids/endpoint-id.js';
import type { ServiceId } from '../ids/service-id.js';

/** Informs the first agents in a chat's rendezvous order which endpoint holds the chat now. */
export interface PlacementUpdate {
  service: ServiceId;
  /** The chat with its account: `account/chat`. */
  chat: ChatId;
  holder: EndpointId;
  /** Incarnation of the holder; updates with an older one are ignored. */
  incarnation: number;
  /** Increases with each move of the chat. */
  sequence: number;
}
