import { applyCommitted } from './apply-committed.js';
import { computeQuorumValue } from '../membership/compute-quorum-value.js';
import { listPossibleGroups } from '../membership/list-possible-groups.js';
import type { RaftContext } from '../raft-context.js';
import { releaseLeadership } from '../election/release-leadership.js';
import { removeSettledGroups } from '../membership/remove-settled-groups.js';
import { updatePeers } from './update-peers.js';
import { wakePeers } from './wake-peers.js';

/** Commits the entries that a quorum has synced, if the last is of the leader's term. @internal */
export function updateCommitIndex(context: RaftContext): void {
  if (context.role !== 'leader') return;
  const { log, progress } = context;
  const index = computeQuorumValue(listPossibleGroups(context), (diskId) =>
    diskId === log.identity.diskId ? context.durableIndex : (progress.get(diskId)?.matchIndex ?? 0),
  );
  if (index <= context.commitIndex) return;
  // A disk that acknowledged less than an uncommitted membership may be one that it replaces.
  if (context.possibleGroups.length > 1 && index < context.groupIndex) return;
  if (log.memory.findTerm(index) !== log.readHardState().term) return;
  context.commitIndex = index;
  if (removeSettledGroups(context)) updatePeers(context);
  applyCommitted(context);
  wakePeers(context);
  if (hasLeft(context)) releaseLeadership(context);
}

/** Whether the group has accepted a membership without this leader. */
function hasLeft({ group, groupIndex, commitIndex, log }: RaftContext): boolean {
  if (!group || groupIndex > commitIndex) return false;
  return !group.members.some(({ diskId }) => diskId === log.identity.diskId);
}
