import { buildReply } from '../replication/build-reply.js';
import { checkRunning } from '../check-running.js';
import { computeQuorumAge } from '../age/compute-quorum-age.js';
import type { RaftContext } from '../raft-context.js';
import { raftTiming } from '../raft-timing.js';
import { recordSender } from '../disk/record-sender.js';
import { updateTerm } from './update-term.js';
import type { VoteReply } from './vote-reply.js';
import type { VoteRequest } from './vote-request.js';

/** Replies to a candidate; a vote is durable before the reply is sent. @internal */
export async function handleVote(context: RaftContext, request: VoteRequest): Promise<VoteReply> {
  checkRunning(context);
  const { log, clock } = context;
  const refuse = async (flags: Partial<VoteReply> = {}): Promise<VoteReply> => {
    await log.sync();
    return { ...buildReply(context), isGranted: false, ...flags };
  };
  if (request.toDisk !== undefined && request.toDisk !== log.identity.diskId) {
    return refuse({ isOtherDisk: true });
  }
  if (!recordSender(context, request.from)) return refuse({ isStale: true });
  // A candidate without a membership may only bootstrap a group in which no node has one.
  if (request.toDisk === undefined && context.group) return refuse();
  if (context.isInstallingSnapshot || hasLiveLeader(context) || !isUpToDate(context, request)) {
    return refuse();
  }
  const { term } = log.readHardState();
  if (request.isPreVote) {
    return { ...buildReply(context), isGranted: request.term > term };
  }
  if (request.term < term) return refuse();
  updateTerm(context, request.term);
  const hardState = log.readHardState();
  const { diskId } = request.from;
  if (hardState.vote !== undefined && hardState.vote !== diskId) return refuse();
  context.electionTimerStartedAt = clock.monotonic();
  if (hardState.vote === undefined) await log.saveHardState({ ...hardState, vote: diskId });
  else await log.sync();
  return { ...buildReply(context), term: request.term, isGranted: true };
}

/** Whether a leader is alive; no vote is granted meanwhile, so that no candidate disrupts it. */
function hasLiveLeader(context: RaftContext): boolean {
  const { electionTimeoutMinMs } = raftTiming;
  if (context.role === 'leader') return computeQuorumAge(context) < electionTimeoutMinMs;
  return context.clock.monotonic() - context.leaderContactAt < electionTimeoutMinMs;
}

function isUpToDate({ log }: RaftContext, { lastIndex, lastTerm }: VoteRequest): boolean {
  const last = log.memory.readLast();
  if (lastTerm !== last.term) return lastTerm > last.term;
  return lastIndex >= last.index;
}
