import { checkRemainingQuorum } from './check-remaining-quorum.js';
import type { RaftContext } from '../raft-context.js';
import { updateGroup } from './update-group.js';
import { addNode } from './add-node.js';
import type { MembershipChange } from './membership-change.js';
import { promoteLearner } from './promote-learner.js';

/** Carries out one change of the membership as leader. @internal */
export async function applyMembershipChange(
  context: RaftContext,
  change: MembershipChange,
): Promise<void> {
  switch (change.type) {
    case 'addLearner':
      await addNode(context, { id: change.node.id, address: change.node.address });
      return;
    case 'promote':
      await promoteLearner(context, change.diskId, ({ diskId }) => diskId === change.lostDiskId);
      return;
    default:
      await updateGroup(context, (members) => {
        const isRemoved = ({ diskId }: { diskId: string }) => diskId === change.diskId;
        checkRemainingQuorum(context, isRemoved);
        return members.filter((member) => !isRemoved(member));
      });
  }
}
