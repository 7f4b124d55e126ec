import type { GroupMember } from './group-member.js';

/** A member of the group as the leader sees it. */
export interface MemberStatus extends GroupMember {
  /** Time since the leader's last message that the member replied to, in milliseconds. */
  silentMs: number;
  /** Time since when its replies are awaited, in milliseconds. */
  observedMs: number;
  /** Whether the member has all entries that are committed. */
  isCaughtUp: boolean;
}
