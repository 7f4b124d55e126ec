import { RelayError, ResultCode } from '@vanillarelay/core';
import type { RaftContext } from './raft-context.js';
import { stopNode } from './stop-node.js';

/** Stops a node on an older copy of its disk; its next start begins empty. @internal */
export function stopStaleNode(context: RaftContext): void {
  const { log } = context;
  const stop = () =>
    stopNode(
      context,
      new RelayError(ResultCode.notMember, 'peers have seen a newer state of this disk'),
    );
  log.saveHardState({ ...log.readHardState(), isStale: true }).then(stop, stop);
}
