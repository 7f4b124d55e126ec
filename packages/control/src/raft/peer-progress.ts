import type { GroupMember } from './group-member.js';

/** What the leader knows of one member. */
export interface PeerProgress {
  member: GroupMember;
  nextIndex: number;
  /** Highest index known to be durable there. */
  matchIndex: number;
  /** Monotonic time at which the last answered message was sent. */
  answeredAt: number;
  /** Commit index in the last answered message. */
  toldCommitIndex: number;
  /** Set when a round is wanted before the next heartbeat. */
  isRoundWanted: boolean;
  echo?: { incarnation: number; mark: number };
  controller: AbortController;
  wake: () => void;
}
