import type { PeerReply } from './peer-reply.js';

/** Reply to entries, a heartbeat or a part of a snapshot. */
export interface AppendReply extends PeerReply {
  isMatched: boolean;
  /**
   * Highest durable index that matches the leader's log or, without a match, the index to retry
   * from; for an unfinished snapshot, the number of bytes received.
   */
  index: number;
  /** Characters received of the entry that the leader sends in parts. */
  partLength?: number;
  /** Monotonic time of the replying node; the leader returns it in `echo` of its next message. */
  mark: number;
}
