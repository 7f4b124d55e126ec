import { computeQuorumValue } from '../membership/compute-quorum-value.js';
import { listPossibleGroups } from '../membership/list-possible-groups.js';
import type { RaftContext } from '../raft-context.js';

/** Monotonic time at which a quorum was last known to be alive. @internal */
export function computeQuorumSeenAt(context: RaftContext): number {
  if (context.role !== 'leader') return context.quorumSeenAt;
  const { log, clock, progress } = context;
  return computeQuorumValue(listPossibleGroups(context), (diskId) =>
    diskId === log.identity.diskId
      ? clock.monotonic()
      : (progress.get(diskId)?.answeredAt ?? Number.NEGATIVE_INFINITY),
  );
}
