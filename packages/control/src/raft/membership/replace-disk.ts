import type { Group } from './group.js';
import { readGroupSize } from './read-group-size.js';

/** Builds the membership in which a voter has another disk in its seat. */
export function replaceDisk(group: Group, lostDiskId: string, diskId: string): Group {
  const lost = group.members.find((member) => member.diskId === lostDiskId);
  const members = group.members
    .filter(({ id, role }) => id !== lost?.id || role === 'voter')
    .map((member) => (member.diskId === lostDiskId ? { ...member, diskId } : member));
  return { members, size: readGroupSize(group) };
}
