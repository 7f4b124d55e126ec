import { computeQuorumAge } from './compute-quorum-age.js';
import type { RaftContext } from '../raft-context.js';
import { unknownQuorumAgeMs } from './unknown-quorum-age-ms.js';

/**
 * Milliseconds since the applied state was last known to hold everything that was committed. A new
 * leader knows this only once it has applied an entry of its own term. @internal
 */
export function computeStateAge(context: RaftContext): number {
  const isIncomplete = context.role === 'leader' && context.appliedIndex < context.termStartIndex;
  return isIncomplete ? unknownQuorumAgeMs : computeQuorumAge(context);
}
