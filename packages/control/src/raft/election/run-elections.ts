import { findElectorate } from './find-electorate.js';
import type { RaftContext } from '../raft-context.js';
import { raftTiming } from '../raft-timing.js';
import { requestPreVotes } from './request-pre-votes.js';
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
    const isSingleVoter = findElectorate(context)?.voters.length === 1;
    const laterStage = isStarting() ? 'start' : 'election';
    const stage = isFirst ? 'first' : laterStage;
    await waitForElectionTimeout(context, isSingleVoter ? 0 : chooseTimeout(context, stage));
    isFirst = false;
    if (context.role !== 'follower') {
      await context.clock.wait(electionTimeoutMinMs);
      continue;
    }
    if (findElectorate(context)) await runElection(context);
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
  const candidacy = await requestPreVotes(context, nextTerm);
  if (!candidacy) return;
  const isSuperseded = () => context.role === 'stopped' || log.readHardState().term >= nextTerm;
  if (isSuperseded() || context.electionTimerStartedAt !== electionTimerStartedAt) return;
  context.role = 'candidate';
  context.leader = undefined;
  const { diskId } = log.identity;
  await log.saveHardState({ ...log.readHardState(), term: nextTerm, vote: diskId });
  const votes = await requestVotes(context, nextTerm, candidacy);
  if (context.role !== 'candidate' || log.readHardState().term !== nextTerm) return;
  if (!votes) {
    context.role = 'follower';
    return;
  }
  timeline.record('raft.elected', { term: nextTerm });
  if (candidacy.newDisk) timeline.record('raft.diskReplaced', { node: candidacy.newDisk.id });
  startLeading(context, { votes, startedAt, replacement: candidacy.replacement });
}
