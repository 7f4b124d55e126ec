import { RelayError, ResultCode } from '@vanillarelay/core';
import { isGroupSettled } from './is-group-settled.js';
import type { RaftContext } from '../raft-context.js';
import { updateGroup } from './update-group.js';
import { hasRemainingQuorum } from './has-remaining-quorum.js';
import { listVoters } from './list-voters.js';
import { readGroupSize } from './read-group-size.js';

/**
 * Removes a member whose process is about to end, as leader. A voter leaves only a group that has
 * more voters than it keeps, so that voters that stop at once and start again remain a group; this
 * node may be the one that leaves. Throws `noQuorum` when the member has to stay. @internal
 */
export async function removeLeavingMember(context: RaftContext, diskId: string): Promise<void> {
  const isLeaving = (member: { diskId: string }) => member.diskId === diskId;
  // A repeated request of a member that has left.
  if (isGroupSettled(context) && !context.group?.members.some(isLeaving)) return;
  await updateGroup(context, (members) => {
    const { group } = context;
    const voters = listVoters(context);
    const isSurplus = group !== undefined && voters.length > readGroupSize(group);
    const isVoter = voters.some(isLeaving);
    if (isVoter && !(isSurplus && hasRemainingQuorum(context, isLeaving))) {
      throw new RelayError(ResultCode.noQuorum, 'the group has no voter to spare', {
        notRun: true,
      });
    }
    return members.filter((member) => !isLeaving(member));
  });
}
