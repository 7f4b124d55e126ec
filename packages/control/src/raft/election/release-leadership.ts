import { RelayError, ResultCode } from '@vanillarelay/core';
import type { RaftContext } from '../raft-context.js';

/** Makes a leader or candidate a follower; pending proposals have an unknown outcome. @internal */
export function releaseLeadership(context: RaftContext, reason?: Error): void {
  if (context.role === 'stopped') return;
  if (context.role === 'leader') {
    context.timeline.record('raft.steppedDown', { term: context.log.readHardState().term });
    context.electionTimerStartedAt = context.clock.monotonic();
  }
  context.role = 'follower';
  context.leader = undefined;
  context.termStartIndex = Number.POSITIVE_INFINITY;
  context.office.abort();
  context.progress.clear();
  const error =
    reason ??
    new RelayError(ResultCode.noQuorum, 'the leader changed before the entry was accepted');
  context.pending.forEach(({ reject }) => reject(error));
  context.pending.clear();
}
