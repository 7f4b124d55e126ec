import type { Group } from './group.js';
import type { GroupMember } from './group-member.js';
import { computeMajorityValue } from './compute-majority-value.js';
import { findSeatDisk } from './find-seat-disk.js';
import { listVoters } from './list-voters.js';

/**
 * The highest value that a quorum reaches: a majority of each membership that may be in force. In one
 * with an even number of voters, one new disk may count in the seat of the disk that it replaces in
 * the newest one, because any two majorities share a second voter. Minus infinity without a membership.
 */
export function computeQuorumValue(
  groups: readonly Group[],
  readValue: (diskId: string) => number,
): number {
  const newest = groups.at(-1);
  if (!newest) return Number.NEGATIVE_INFINITY;
  return Math.min(...groups.map((group) => computeGroupValue(group, newest, readValue)));
}

function computeGroupValue(
  group: Group,
  newest: Group,
  readValue: (diskId: string) => number,
): number {
  const voters = listVoters({ group });
  const values = voters.map(({ diskId }) => readValue(diskId));
  const own = computeMajorityValue(values);
  if (voters.length % 2 === 1) return own;
  const replace = (voter: GroupMember, position: number): number => {
    const diskId = findSeatDisk(newest, voter);
    if (diskId === undefined) return own;
    return computeMajorityValue(values.with(position, readValue(diskId)));
  };
  return Math.max(own, ...voters.map(replace));
}
