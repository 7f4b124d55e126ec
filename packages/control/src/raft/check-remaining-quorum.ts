import { RelayError, ResultCode } from '@vanillarelay/core';
import type { GroupMember } from './group-member.js';
import type { RaftContext } from './raft-context.js';
import { raftTiming } from './raft-timing.js';

/** Throws when removing a member would leave the others without a live quorum. @internal */
export function checkRemainingQuorum(
  context: RaftContext,
  isLost: (member: GroupMember) => boolean,
): void {
  const { log, progress, clock, group } = context;
  const members = group?.members ?? [];
  const remaining = members.filter((member) => member.role === 'voter' && !isLost(member));
  const since = clock.monotonic() - raftTiming.electionTimeoutMinMs;
  const live = remaining.filter(
    ({ diskId }) =>
      diskId === log.identity.diskId || (progress.get(diskId)?.answeredAt ?? -Infinity) >= since,
  );
  const isSelfLost = members.some(
    (member) => isLost(member) && member.diskId === log.identity.diskId,
  );
  if (isSelfLost || live.length <= remaining.length / 2) {
    throw new RelayError(ResultCode.noQuorum, 'the other members are not a live quorum', {
      notRun: true,
    });
  }
}
