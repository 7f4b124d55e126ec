import { checkRemainingQuorum } from './check-remaining-quorum.js';
import type { GroupMember } from './group-member.js';
import type { RaftContext } from '../raft-context.js';
import { updateGroup } from './update-group.js';

/**
 * Makes a learner a voter, after the lost voter whose seat it takes was removed. Can be retried
 * after a failure at any step. @internal
 */
export async function promoteLearner(
  context: RaftContext,
  diskId: string,
  isLost: (member: GroupMember) => boolean = () => false,
): Promise<void> {
  if (context.group?.members.some(isLost)) {
    checkRemainingQuorum(context, isLost);
    await updateGroup(context, (members) => members.filter((member) => !isLost(member)));
  }
  await updateGroup(context, (members) =>
    members.map((member) => (member.diskId === diskId ? { ...member, role: 'voter' } : member)),
  );
}
