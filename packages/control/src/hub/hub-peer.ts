import type { GossipMessage } from './gossip-message.js';
import type { GossipReply } from './gossip-reply.js';

/** Another hub of the control group. */
export interface HubPeer {
  gossip(message: GossipMessage, signal: AbortSignal): Promise<GossipReply>;
}
