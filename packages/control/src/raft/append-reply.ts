import type { PeerReply } from './peer-reply.js';

/** Answer to entries, a heartbeat or a part of a snapshot. */
export interface AppendReply extends PeerReply {
  isMatched: boolean;
  /** Matched: highest index that is durable and equal to the leader's. Otherwise: try from here. */
  index: number;
  /** Monotonic clock of the receiver. */
  mark: number;
}
