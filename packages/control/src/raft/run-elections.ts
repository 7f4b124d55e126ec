import { listElectorate } from './list-electorate.js';
import type { RaftContext } from './raft-context.js';
import { raftTiming } from './raft-timing.js';
import { requestVotes } from './request-votes.js';
import { startLeading } from './start-leading.js';

/** The task that stands for election when no leader was heard for a random timeout. @internal */
export async function runElections(context: RaftContext): Promise<void> {
  const { electionTimeoutMinMs } = raftTiming;
  let isFirst = true;
  while (context.role !== 'stopped') {
    const isAlone = listElectorate(context).needed === 1;
    await waitForSilence(context, isAlone ? 0 : chooseTimeout(context, isFirst));
    isFirst = false;
    if (context.role !== 'follower') {
      await context.clock.wait(electionTimeoutMinMs);
      continue;
    }
    if (listElectorate(context).needed > 0) await runElection(context);
    context.heardAt = Math.max(context.heardAt, context.clock.monotonic());
  }
}

function chooseTimeout({ random }: RaftContext, isFirst: boolean): number {
  const { electionTimeoutMinMs, electionTimeoutMaxMs } = raftTiming;
  const { firstTimeoutMinMs, firstTimeoutMaxMs } = raftTiming;
  const [minMs, maxMs] = isFirst
    ? [firstTimeoutMinMs, firstTimeoutMaxMs]
    : [electionTimeoutMinMs, electionTimeoutMaxMs];
  return minMs + random() * (maxMs - minMs);
}

/** Resolves when no leader was heard and no vote given for `timeoutMs`. */
async function waitForSilence(context: RaftContext, timeoutMs: number): Promise<void> {
  const { clock } = context;
  for (;;) {
    const leftMs = context.heardAt + timeoutMs - clock.monotonic();
    if (leftMs <= 0 || context.role === 'stopped') return;
    await clock.wait(leftMs);
  }
}

async function runElection(context: RaftContext): Promise<void> {
  const { log, timeline, clock } = context;
  const startedAt = clock.monotonic();
  const nextTerm = log.readHardState().term + 1;
  const { heardAt } = context;
  if (!(await requestVotes(context, { term: nextTerm, isPreVote: true }))) return;
  const isOvertaken = () => context.role === 'stopped' || log.readHardState().term >= nextTerm;
  if (isOvertaken() || context.heardAt !== heardAt) return;
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
