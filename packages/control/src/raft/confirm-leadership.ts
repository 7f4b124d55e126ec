import { computeQuorumSeenAt } from './compute-quorum-seen-at.js';
import type { RaftContext } from './raft-context.js';
import { raftTiming } from './raft-timing.js';
import { wakePeers } from './wake-peers.js';

const pollMs = 10;

/**
 * Whether this node is the leader, confirmed by a quorum that replied after the call; its state
 * then includes everything that was accepted before the call. @internal
 */
export async function confirmLeadership(context: RaftContext): Promise<boolean> {
  const { clock } = context;
  const askedAt = clock.monotonic();
  wakePeers(context);
  while (clock.monotonic() - askedAt <= raftTiming.electionTimeoutMinMs) {
    if (context.role !== 'leader') return false;
    const isConfirmed = computeQuorumSeenAt(context) >= askedAt;
    if (isConfirmed && context.appliedIndex >= context.termStartIndex) return true;
    await clock.wait(pollMs);
  }
  return false;
}
