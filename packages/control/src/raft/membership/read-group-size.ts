import type { Group } from './group.js';
import { chooseGroupSize } from './choose-group-size.js';

/** Reads the number of voters that a group keeps; a group of an earlier version has its own. */
export function readGroupSize({ members, size }: Group): number {
  return size ?? chooseGroupSize(members.filter(({ role }) => role === 'voter').length);
}
