import { RelayError, ResultCode } from '@vanillarelay/core';
import { releaseLeadership } from './election/release-leadership.js';
import type { RaftContext } from './raft-context.js';

/** Stops a node permanently: it no longer votes, leads or acknowledges. @internal */
export function stopNode(context: RaftContext, error: Error): void {
  if (context.role === 'stopped') return;
  const failure =
    error instanceof RelayError
      ? error
      : new RelayError(ResultCode.storageFailed, error.message, { cause: error });
  releaseLeadership(context, failure);
  context.role = 'stopped';
  context.failure = failure;
  context.timeline.record('raft.stopped', { reason: error.message });
  context.reportFailure(failure);
}
