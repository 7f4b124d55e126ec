import { applyCommitted } from './apply-committed.js';
import { computeMajorityValue } from './compute-majority-value.js';
import { listVoters } from '../membership/list-voters.js';
import type { RaftContext } from '../raft-context.js';
import { releaseLeadership } from '../election/release-leadership.js';
import { wakePeers } from './wake-peers.js';

/** Commits the entries that a quorum has synced, if the last is of the leader's term. @internal */
export function updateCommitIndex(context: RaftContext): void {
  if (context.role !== 'leader') return;
  const { log, progress } = context;
  const index = computeMajorityValue(
    listVoters(context).map(({ diskId }) =>
      diskId === log.identity.diskId
        ? context.durableIndex
        : (progress.get(diskId)?.matchIndex ?? 0),
    ),
  );
  if (index <= context.commitIndex) return;
  if (log.memory.findTerm(index) !== log.readHardState().term) return;
  context.commitIndex = index;
  applyCommitted(context);
  wakePeers(context);
  if (hasLeft(context)) releaseLeadership(context);
}

/** Whether the group has accepted a membership without this leader. */
function hasLeft({ group, groupIndex, commitIndex, log }: RaftContext): boolean {
  if (!group || groupIndex > commitIndex) return false;
  return !group.members.some(({ diskId }) => diskId === log.identity.diskId);
}
