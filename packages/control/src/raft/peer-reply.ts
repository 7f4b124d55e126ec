import type { Sender } from './sender.js';

/** Fields of every answer between control nodes. */
export interface PeerReply {
  from: Sender;
  term: number;
  /** The message was meant for another disk under this node's name. */
  isOtherDisk?: boolean;
  /** The sender runs on an older copy of its disk. */
  isStale?: boolean;
}
