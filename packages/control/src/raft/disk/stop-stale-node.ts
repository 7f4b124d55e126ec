import { RelayError, ResultCode } from '@vanillarelay/core';
import type { RaftContext } from '../raft-context.js';
import { stopNode } from '../stop-node.js';

/** Stops a node on an older copy of its disk; its next start begins empty. @internal */
export function stopStaleNode(context: RaftContext): void {
  const { log } = context;
  const stop = () =>
    stopNode(context, new RelayError(ResultCode.notMember, 'the disk is older than peers know it'));
  log.saveHardState({ ...log.readHardState(), isStale: true }).then(stop, stop);
}
