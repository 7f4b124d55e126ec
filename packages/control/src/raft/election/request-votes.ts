import { withTimeout } from '@vanillarelay/core';
import { buildSender } from '../disk/build-sender.js';
import { computeVoteQuorum } from './compute-vote-quorum.js';
import type { RaftContext } from '../raft-context.js';
import { raftTiming } from '../raft-timing.js';
import { recordSender } from '../disk/record-sender.js';
import { stopStaleNode } from '../disk/stop-stale-node.js';
import { updateTerm } from './update-term.js';
import type { Voter } from './voter.js';

interface VoteRound {
  term: number;
  isPreVote: boolean;
}

/**
 * Requests the votes of all voters at once; resolves with the voters that granted theirs, by disk
 * id, as soon as they suffice, or with undefined when they do not. @internal
 */
export async function requestVotes(
  context: RaftContext,
  round: VoteRound,
): Promise<Map<string, Voter> | undefined> {
  const { voters, needed } = computeVoteQuorum(context);
  const isBootstrap = !context.group;
  const granted = new Map<string, Voter>();
  const ownDiskId = context.log.identity.diskId;
  const others = voters.filter(({ diskId }) => diskId !== ownDiskId);
  voters
    .filter(({ diskId }) => diskId === ownDiskId)
    .forEach((voter) => granted.set(ownDiskId, voter));
  await new Promise<void>((resolve) => {
    if (granted.size >= needed) resolve();
    let outstanding = others.length;
    others.forEach(async (voter) => {
      const diskId = await requestVote(context, voter, { ...round, isBootstrap }).catch(
        () => undefined,
      );
      if (diskId !== undefined) granted.set(diskId, { ...voter, diskId });
      outstanding -= 1;
      if (granted.size >= needed || outstanding === 0) resolve();
    });
  });
  return needed > 0 && granted.size >= needed ? granted : undefined;
}

/** Resolves with the voter's disk id when it granted its vote. */
async function requestVote(
  context: RaftContext,
  voter: Voter,
  { term, isPreVote, isBootstrap }: VoteRound & { isBootstrap: boolean },
): Promise<string | undefined> {
  const last = context.log.memory.readLast();
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
  if (reply.isOtherDisk || !recordSender(context, reply.from)) return undefined;
  if (!reply.isGranted && reply.term > context.log.readHardState().term) {
    updateTerm(context, reply.term);
  }
  if (voter.diskId !== undefined && reply.from.diskId !== voter.diskId) return undefined;
  return reply.isGranted ? reply.from.diskId : undefined;
}
