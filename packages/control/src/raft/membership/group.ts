import type { GroupMember } from './group-member.js';

/** Membership of the control group, as the log holds it. */
export interface Group {
  members: GroupMember[];
  /**
   * Number of voters that the group keeps; those beyond it may be removed. Groups of earlier
   * versions have none.
   */
  size?: number;
  /**
   * Index of the earliest membership that may be in force beside this one, if this one was appended
   * before the one before it was known to be committed.
   */
  earliestIndex?: number;
}
