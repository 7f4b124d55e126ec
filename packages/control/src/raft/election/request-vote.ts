import { withTimeout } from '@vanillarelay/core';
import { buildSender } from '../disk/build-sender.js';
import { recordSender } from '../disk/record-sender.js';
import { stopStaleNode } from '../disk/stop-stale-node.js';
import type { RaftContext } from '../raft-context.js';
import { raftTiming } from '../raft-timing.js';
import { updateTerm } from './update-term.js';
import type { VoteReply } from './vote-reply.js';
import type { Voter } from './voter.js';

interface VoteRound {
  term: number;
  isPreVote: boolean;
}

/**
 * Requests the vote of one node; resolves with its reply, or with undefined when that must not count.
 * A reply from another disk than the voter's is refused and marked so. @internal
 */
export async function requestVote(
  context: RaftContext,
  voter: Voter,
  { term, isPreVote }: VoteRound,
): Promise<VoteReply | undefined> {
  const last = context.log.memory.readLast();
  const isBootstrap = !context.group;
  const request = {
    from: buildSender(context),
    ...(isBootstrap || voter.diskId === undefined ? {} : { toDisk: voter.diskId }),
    term,
    lastIndex: last.index,
    lastTerm: last.term,
    isPreVote,
  };
  const client = context.openPeer(voter.address);
  const reply = await withTimeout(context.clock, raftTiming.voteTimeoutMs, (signal) =>
    client.requestVote(request, signal),
  );
  if (reply.isStale) stopStaleNode(context);
  if (reply.isOtherDisk) return { ...reply, isGranted: false };
  if (!recordSender(context, reply.from)) return undefined;
  if (!reply.isGranted && reply.term > context.log.readHardState().term) {
    updateTerm(context, reply.term);
  }
  const isOtherDisk = voter.diskId !== undefined && reply.from.diskId !== voter.diskId;
  return isOtherDisk ? undefined : reply;
}
