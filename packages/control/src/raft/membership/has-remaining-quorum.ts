import { readAnsweredAt } from '../age/read-answered-at.js';
import { computeQuorumValue } from './compute-quorum-value.js';
import type { GroupMember } from './group-member.js';
import { listPossibleGroups } from './list-possible-groups.js';
import type { RaftContext } from '../raft-context.js';
import { raftTiming } from '../raft-timing.js';

/** Whether a quorum with and without the removed members is alive. @internal */
export function hasRemainingQuorum(
  context: RaftContext,
  isRemoved: (member: GroupMember) => boolean,
): boolean {
  const { clock, group } = context;
  if (!group) return false;
  const remaining = { members: group.members.filter((member) => !isRemoved(member)) };
  const seenAt = computeQuorumValue([...listPossibleGroups(context), remaining], (diskId) =>
    readAnsweredAt(context, diskId),
  );
  return clock.monotonic() - seenAt <= raftTiming.electionTimeoutMinMs;
}
