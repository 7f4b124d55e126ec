import { computeVoteQuorum } from './compute-vote-quorum.js';
import type { RaftContext } from '../raft-context.js';
import { raftTiming } from '../raft-timing.js';
import { requestVotes } from './request-votes.js';
import { startLeading } from './start-leading.js';

/** Task that starts an election when no leader is heard for a randomised timeout. @internal */
export async function runElections(context: RaftContext): Promise<void> {
  const { electionTimeoutMinMs, startMs } = raftTiming;
  const startedAt = context.clock.monotonic();
  let isFirst = true;
  const isStarting = () =>
    context.leaderContactAt === Number.NEGATIVE_INFINITY &&
    context.clock.monotonic() - startedAt < startMs;
  while (context.role !== 'stopped') {
    const isSingleVoter = computeVoteQuorum(context).needed === 1;
    const laterStage = isStarting() ? 'start' : 'election';
    const stage = isFirst ? 'first' : laterStage;
    await waitForElectionTimeout(context, isSingleVoter ? 0 : chooseTimeout(context, stage));
    isFirst = false;
    if (context.role !== 'follower') {
      await context.clock.wait(electionTimeoutMinMs);
      continue;
    }
    if (computeVoteQuorum(context).needed > 0) await runElection(context);
    context.electionTimerStartedAt = Math.max(
      context.electionTimerStartedAt,
      context.clock.monotonic(),
    );
  }
}

function chooseTimeout({ random }: RaftContext, stage: 'first' | 'start' | 'election'): number {
  const minMs = raftTiming[`${stage}TimeoutMinMs`];
  const maxMs = raftTiming[`${stage}TimeoutMaxMs`];
  return minMs + random() * (maxMs - minMs);
}

/** Resolves when the election timeout has not restarted for `timeoutMs`. */
async function waitForElectionTimeout(context: RaftContext, timeoutMs: number): Promise<void> {
  const { clock } = context;
  for (;;) {
    const remainingMs = context.electionTimerStartedAt + timeoutMs - clock.monotonic();
    if (remainingMs <= 0 || context.role === 'stopped') return;
    await clock.wait(remainingMs);
  }
}

async function runElection(context: RaftContext): Promise<void> {
  const { log, timeline, clock } = context;
  const startedAt = clock.monotonic();
  const nextTerm = log.readHardState().term + 1;
  const { electionTimerStartedAt } = context;
  if (!(await requestVotes(context, { term: nextTerm, isPreVote: true }))) return;
  const isSuperseded = () => context.role === 'stopped' || log.readHardState().term >= nextTerm;
  if (isSuperseded() || context.electionTimerStartedAt !== electionTimerStartedAt) return;
  context.role = 'candidate';
  context.leader = undefined;
  const { incarnations } = log.readHardState();
  await log.saveHardState({ term: nextTerm, vote: log.identity.diskId, incarnations });
  const votes = await requestVotes(context, { term: nextTerm, isPreVote: false });
  if (context.role !== 'candidate' || log.readHardState().term !== nextTerm) return;
  if (!votes) {
    context.role = 'follower';
    return;
  }
  timeline.record('raft.elected', { term: nextTerm });
  startLeading(context, votes, startedAt);
}
