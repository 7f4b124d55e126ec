import { withTimeout } from '@vanillarelay/core';
import type { AppendReply } from './append-reply.js';
import { buildSender } from './build-sender.js';
import { computeStateAge } from './compute-state-age.js';
import type { PeerProgress } from './peer-progress.js';
import type { RaftContext } from './raft-context.js';
import type { RaftPeer } from './raft-peer.js';
import { raftTiming } from './raft-timing.js';

const maxBatchBytes = 256 * 1024;

/** Sends the next entries to a member, or a heartbeat. @internal */
export function sendEntries(
  context: RaftContext,
  { member, nextIndex, echo }: PeerProgress,
  client: RaftPeer,
): Promise<AppendReply> {
  const { log, clock, commitIndex, marks } = context;
  const request = {
    from: buildSender(context),
    toDisk: member.diskId,
    term: log.readHardState().term,
    previousIndex: nextIndex - 1,
    previousTerm: log.memory.findTerm(nextIndex - 1) ?? 0,
    entries: log.memory.listFrom(nextIndex, maxBatchBytes),
    commitIndex,
    quorumAgeMs: computeStateAge(context),
    ...(echo ? { echo } : {}),
    marks: Object.fromEntries(marks),
  };
  return withTimeout(clock, raftTiming.callTimeoutMs, (signal) =>
    client.appendEntries(request, signal),
  );
}
