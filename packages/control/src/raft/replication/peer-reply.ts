import type { Sender } from '../disk/sender.js';

/** Fields of every reply between control nodes. */
export interface PeerReply {
  from: Sender;
  term: number;
  /** Set when the message was meant for another disk under this node's id. */
  isOtherDisk?: boolean;
  /** Set when the sender of the request runs on an older copy of its disk. */
  isStale?: boolean;
}
