import type { GroupMember } from './group-member.js';

/** Replication progress of one member, as known to the leader. */
export interface PeerProgress {
  member: GroupMember;
  nextIndex: number;
  /** Highest index known to be durable there. */
  matchIndex: number;
  /** Monotonic time at which the last message that got a reply was sent. */
  answeredAt: number;
  /** Commit index in the last message that got a reply. */
  acknowledgedCommitIndex: number;
  /** Set when a message must be sent before the next heartbeat. */
  isSendRequested: boolean;
  echo?: { incarnation: number; mark: number };
  controller: AbortController;
  wake: () => void;
}
