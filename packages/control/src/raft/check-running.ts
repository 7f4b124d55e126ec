import type { RaftContext } from './raft-context.js';

/** Throws when the node has stopped permanently. @internal */
export function checkRunning({ role, failure }: RaftContext): void {
  if (role === 'stopped') throw failure ?? new Error('the node has stopped');
}
