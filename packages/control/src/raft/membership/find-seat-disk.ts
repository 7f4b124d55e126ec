import type { Group } from './group.js';
import type { GroupMember } from './group-member.js';

/** The disk that a later membership has in the seat of a voter, if its own is not in it any more. */
export function findSeatDisk(later: Group, voter: GroupMember): string | undefined {
  if (later.members.some(({ diskId }) => diskId === voter.diskId)) return undefined;
  return later.members.find(
    ({ id, address, role }) => id === voter.id && address === voter.address && role === 'voter',
  )?.diskId;
}
