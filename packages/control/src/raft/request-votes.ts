import { withDeadline } from '@vanillarelay/core';
import { buildSender } from './build-sender.js';
import { listElectorate } from './list-electorate.js';
import type { RaftContext } from './raft-context.js';
import { raftTiming } from './raft-timing.js';
import { receiveSender } from './receive-sender.js';
import { stopStaleNode } from './stop-stale-node.js';
import { updateTerm } from './update-term.js';
import type { Voter } from './voter.js';

interface VoteRound {
  term: number;
  isPreVote: boolean;
}

/**
 * Asks all voters at once; resolves with those that granted their vote (by disk) as soon as they
 * suffice, with undefined when they do not. @internal
 */
export async function requestVotes(
  context: RaftContext,
  round: VoteRound,
): Promise<Map<string, Voter> | undefined> {
  const { voters, needed } = listElectorate(context);
  const isFirst = !context.group;
  const granted = new Map<string, Voter>();
  const own = context.log.identity.diskId;
  const others = voters.filter(({ diskId }) => diskId !== own);
  voters.filter(({ diskId }) => diskId === own).forEach((voter) => granted.set(own, voter));
  await new Promise<void>((resolve) => {
    if (granted.size >= needed) resolve();
    let open = others.length;
    others.forEach(async (voter) => {
      const diskId = await requestVote(context, voter, { ...round, isFirst }).catch(
        () => undefined,
      );
      if (diskId !== undefined) granted.set(diskId, { ...voter, diskId });
      open -= 1;
      if (granted.size >= needed || open === 0) resolve();
    });
  });
  return needed > 0 && granted.size >= needed ? granted : undefined;
}

/** Resolves with the voter's disk when it granted its vote. */
async function requestVote(
  context: RaftContext,
  voter: Voter,
  { term, isPreVote, isFirst }: VoteRound & { isFirst: boolean },
): Promise<string | undefined> {
  const last = context.log.memory.readLast();
  const request = {
    from: buildSender(context),
    ...(isFirst || voter.diskId === undefined ? {} : { toDisk: voter.diskId }),
    term,
    lastIndex: last.index,
    lastTerm: last.term,
    isPreVote,
  };
  const client = context.openPeer(voter.address);
  const reply = await withDeadline(context.clock, raftTiming.voteTimeoutMs, (signal) =>
    client.requestVote(request, signal),
  );
  if (reply.isStale) stopStaleNode(context);
  if (reply.isOtherDisk || !receiveSender(context, reply.from)) return undefined;
  if (!reply.isGranted && reply.term > context.log.readHardState().term) {
    updateTerm(context, reply.term);
  }
  if (voter.diskId !== undefined && reply.from.diskId !== voter.diskId) return undefined;
  return reply.isGranted ? reply.from.diskId : undefined;
}
