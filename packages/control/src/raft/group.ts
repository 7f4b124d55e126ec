import type { GroupMember } from './group-member.js';

/** Membership of the control group, as the log holds it. */
export interface Group {
  members: GroupMember[];
}
