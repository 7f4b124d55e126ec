import { computeQuorumSeenAt } from '../age/compute-quorum-seen-at.js';
import type { RaftContext } from '../raft-context.js';
import { raftTiming } from '../raft-timing.js';
import { wakePeers } from '../replication/wake-peers.js';

const pollIntervalMs = 10;

/**
 * Whether this node is the leader, confirmed by a quorum that replied after the call; its state
 * then includes everything that was accepted before the call. @internal
 */
export async function confirmLeadership(context: RaftContext): Promise<boolean> {
  const { clock } = context;
  const startedAt = clock.monotonic();
  wakePeers(context);
  while (clock.monotonic() - startedAt <= raftTiming.electionTimeoutMinMs) {
    if (context.role !== 'leader') return false;
    const isConfirmed = computeQuorumSeenAt(context) >= startedAt;
    if (isConfirmed && context.appliedIndex >= context.termStartIndex) return true;
    await clock.wait(pollIntervalMs);
  }
  return false;
}
