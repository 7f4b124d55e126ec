import type { PeerReply } from './peer-reply.js';

/** Answer to a vote request. */
export interface VoteReply extends PeerReply {
  isGranted: boolean;
}
