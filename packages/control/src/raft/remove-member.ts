import { checkRemaining } from './check-remaining.js';
import type { GroupMember } from './group-member.js';
import type { RaftContext } from './raft-context.js';
import { updateGroup } from './update-group.js';

/** Takes a voter that is gone for good out, when the others are a live quorum. @internal */
export async function removeMember(context: RaftContext, id: string): Promise<void> {
  const isLost = (member: GroupMember) => member.id === id;
  checkRemaining(context, isLost);
  await updateGroup(context, (members) => members.filter((member) => !isLost(member)));
}
