import { appendEntry } from '../replication/append-entry.js';
import { computeQuorumAge } from '../age/compute-quorum-age.js';
import type { Group } from '../membership/group.js';
import { chooseGroupSize } from '../membership/choose-group-size.js';
import type { RaftContext } from '../raft-context.js';
import { raftTiming } from '../raft-timing.js';
import { releaseLeadership } from './release-leadership.js';
import { updatePeers } from '../replication/update-peers.js';
import type { Voter } from './voter.js';

interface ElectionResult {
  /** The voters that granted their votes, by disk id. */
  votes: Map<string, Voter>;
  /** Monotonic time at which the election began. */
  startedAt: number;
  /** The membership with which this node was elected, if it is not in the log yet. */
  replacement: Group | undefined;
}

/** Makes this node leader after it won an election. @internal */
export function startLeading(
  context: RaftContext,
  { votes, startedAt, replacement }: ElectionResult,
): void {
  const { log } = context;
  context.role = 'leader';
  context.leader = context.id;
  context.office = new AbortController();
  context.termStartIndex = log.memory.readLast().index + 1;
  updatePeers(context);
  const group = context.group ? replacement : buildInitialGroup(votes);
  const first = group
    ? ({ kind: 'group', data: JSON.stringify(group) } as const)
    : ({ kind: 'empty', data: '' } as const);
  // Rejected when this node soon stops leading; no proposer waits for this entry.
  appendEntry(context, first).catch(() => {});
  context.progress.forEach((peer, diskId) => {
    if (votes.has(diskId)) peer.answeredAt = startedAt;
    if (diskId === context.leaderDiskId) peer.observedSince = context.leaderContactAt;
  });
  void runQuorumCheck(context, context.office.signal);
}

/** Builds the initial membership, which binds every node to the disk that voted. */
function buildInitialGroup(votes: Map<string, Voter>): Group {
  const members = [...votes].map(([diskId, { id, address }]) => ({
    ...{ id, address, diskId },
    role: 'voter' as const,
  }));
  return { members, size: chooseGroupSize(members.length) };
}

/** Steps down when no quorum has replied for an election timeout. */
async function runQuorumCheck(context: RaftContext, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await context.clock.wait(raftTiming.retryDelayMs, signal);
    if (signal.aborted) return;
    if (computeQuorumAge(context) > raftTiming.electionTimeoutMinMs) releaseLeadership(context);
  }
}
