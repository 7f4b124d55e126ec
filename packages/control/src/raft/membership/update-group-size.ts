import type { Group } from './group.js';
import type { GroupMember } from './group-member.js';
import { chooseGroupSize } from './choose-group-size.js';
import { listVoters } from './list-voters.js';
import { readGroupSize } from './read-group-size.js';

/**
 * Computes the size that a changed membership keeps. It is that of the group, as voters that join
 * may be successors of others, but for a single founder that two more voters have joined.
 */
export function updateGroupSize(group: Group, changed: GroupMember[]): number {
  const size = readGroupSize(group);
  const voters = listVoters({ group: { members: changed } }).length;
  return size === 1 && voters >= 3 ? chooseGroupSize(voters) : size;
}
