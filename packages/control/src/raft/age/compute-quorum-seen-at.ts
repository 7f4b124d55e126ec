import { computeQuorumValue } from '../membership/compute-quorum-value.js';
import { listPossibleGroups } from '../membership/list-possible-groups.js';
import type { RaftContext } from '../raft-context.js';
import { readAnsweredAt } from './read-answered-at.js';

/** Monotonic time at which a quorum was last known to be alive. @internal */
export function computeQuorumSeenAt(context: RaftContext): number {
  if (context.role !== 'leader') return context.quorumSeenAt;
  return computeQuorumValue(listPossibleGroups(context), (diskId) =>
    readAnsweredAt(context, diskId),
  );
}
