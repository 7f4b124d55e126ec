import { computeQuorumSeenAt } from './compute-quorum-seen-at.js';
import type { RaftContext } from '../raft-context.js';
import { unknownQuorumAgeMs } from './unknown-quorum-age-ms.js';

/** Milliseconds since a quorum was last known to be alive. @internal */
export function computeQuorumAge(context: RaftContext): number {
  const age = context.clock.monotonic() - computeQuorumSeenAt(context);
  return Math.min(unknownQuorumAgeMs, Math.max(0, age));
}
