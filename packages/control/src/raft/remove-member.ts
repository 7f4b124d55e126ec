import { checkRemainingQuorum } from './check-remaining-quorum.js';
import type { GroupMember } from './group-member.js';
import type { RaftContext } from './raft-context.js';
import { updateGroup } from './update-group.js';

/** Removes a voter that is lost permanently, if the others are a live quorum. @internal */
export async function removeMember(context: RaftContext, id: string): Promise<void> {
  const isLost = (member: GroupMember) => member.id === id;
  checkRemainingQuorum(context, isLost);
  await updateGroup(context, (members) => members.filter((member) => !isLost(member)));
}
