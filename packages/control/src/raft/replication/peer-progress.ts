import type { GroupMember } from '../membership/group-member.js';

/** Replication progress of one member, as known to the leader. */
export interface PeerProgress {
  member: GroupMember;
  /** Index of the next entry to send. */
  nextIndex: number;
  /** Highest index known to be durable on the member's disk. */
  matchIndex: number;
  /** Monotonic time at which the last message that got a reply was sent. */
  answeredAt: number;
  /**
   * Monotonic time since when its replies are awaited: the begin of its replication, or this node's
   * last contact with it when it was the leader.
   */
  observedSince: number;
  /** Commit index in the last message that got a reply. */
  acknowledgedCommitIndex: number;
  /** Largest amount of data to send in one message, in characters. */
  maxLength: number;
  /** Characters of the next entry that the member has received, if it is sent in parts. */
  partLength: number;
  /** Set when a message must be sent before the next heartbeat. */
  isSendRequested: boolean;
  /** Incarnation and `mark` of the member's last reply, returned to it in the next message. */
  echo?: { incarnation: number; mark: number };
  /** Ends the replication to the member. */
  controller: AbortController;
  /** Ends the wait for the next heartbeat. */
  wake: () => void;
}
