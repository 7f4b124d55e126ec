import { findSeatDisk } from './find-seat-disk.js';
import type { Group } from './group.js';
import type { GroupMember } from './group-member.js';
import { listVoters } from './list-voters.js';

/**
 * The voters of all memberships that may be in force, but for those whose disk another one has
 * replaced in the newest membership.
 */
export function listPossibleVoters(groups: readonly Group[]): GroupMember[] {
  const newest = groups.at(-1);
  if (!newest) return [];
  const voters = groups
    .flatMap((group) => listVoters({ group }))
    .filter((voter) => findSeatDisk(newest, voter) === undefined);
  return [...new Map(voters.map((voter) => [voter.diskId, voter])).values()];
}
