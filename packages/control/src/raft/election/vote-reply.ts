import type { PeerReply } from '../replication/peer-reply.js';

/** Reply to a vote request. */
export interface VoteReply extends PeerReply {
  isGranted: boolean;
}
