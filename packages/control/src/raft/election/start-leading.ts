import { appendEntry } from '../replication/append-entry.js';
import { computeQuorumAge } from '../age/compute-quorum-age.js';
import type { Group } from '../membership/group.js';
import { chooseGroupSize } from '../membership/choose-group-size.js';
import type { RaftContext } from '../raft-context.js';
import { raftTiming } from '../raft-timing.js';
import { releaseLeadership } from './release-leadership.js';
import { updatePeers } from '../replication/update-peers.js';
import type { Voter } from './voter.js';

/** Makes this node leader after it won an election that began at `startedAt`. @internal */
export function startLeading(
  context: RaftContext,
  votes: Map<string, Voter>,
  startedAt: number,
): void {
  const { log } = context;
  context.role = 'leader';
  context.leader = context.id;
  context.office = new AbortController();
  context.termStartIndex = log.memory.readLast().index + 1;
  updatePeers(context);
  const first = context.group
    ? ({ kind: 'empty', data: '' } as const)
    : ({ kind: 'group', data: buildInitialGroup(votes) } as const);
  // Rejected when this node soon stops leading; no proposer waits for this entry.
  appendEntry(context, first).catch(() => {});
  context.progress.forEach((peer, diskId) => {
    if (votes.has(diskId)) peer.answeredAt = startedAt;
    if (diskId === context.leaderDiskId) peer.observedSince = context.leaderContactAt;
  });
  void runQuorumCheck(context, context.office.signal);
}

/** Builds the initial membership, which binds every node to the disk that voted. */
function buildInitialGroup(votes: Map<string, Voter>): string {
  const members = [...votes].map(([diskId, { id, address }]) => ({
    ...{ id, address, diskId },
    role: 'voter' as const,
  }));
  const group: Group = { members, size: chooseGroupSize(members.length) };
  return JSON.stringify(group);
}

/** Steps down when no quorum has replied for an election timeout. */
async function runQuorumCheck(context: RaftContext, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await context.clock.wait(raftTiming.retryDelayMs, signal);
    if (signal.aborted) return;
    if (computeQuorumAge(context) > raftTiming.electionTimeoutMinMs) releaseLeadership(context);
  }
}
