import type { Group } from './group.js';
import { chooseGroupSize } from './choose-group-size.js';
import { listVoters } from './list-voters.js';

/** Reads the number of voters that a group keeps; a group of an earlier version has its own. */
export function readGroupSize(group: Group): number {
  return group.size ?? chooseGroupSize(listVoters({ group }).length);
}
