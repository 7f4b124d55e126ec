import type { GroupMember } from './group-member.js';
import { listVoters } from './list-voters.js';
import type { RaftContext } from '../raft-context.js';
import { raftTiming } from '../raft-timing.js';

/** Whether more than half of the voters that remain after a removal are alive. @internal */
export function hasRemainingQuorum(
  context: RaftContext,
  isRemoved: (member: GroupMember) => boolean,
): boolean {
  const { log, progress, clock } = context;
  const remaining = listVoters(context).filter((member) => !isRemoved(member));
  const since = clock.monotonic() - raftTiming.electionTimeoutMinMs;
  const live = remaining.filter(
    ({ diskId }) =>
      diskId === log.identity.diskId || (progress.get(diskId)?.answeredAt ?? -Infinity) >= since,
  );
  return live.length > remaining.length / 2;
}
