import { RelayError, ResultCode } from '@vanillarelay/core';
import { releaseLeadership } from './release-leadership.js';
import type { RaftContext } from './raft-context.js';

/** Stops a node for good: it votes, leads and acknowledges no more. @internal */
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
