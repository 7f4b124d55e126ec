import type { RaftContext } from '../raft-context.js';
import type { Sender } from './sender.js';

/** Describes this node in a message. @internal */
export function buildSender({
  id,
  log,
  commitIndex,
  durableIndex,
  startIndex,
  clock,
}: RaftContext): Sender {
  return {
    id,
    ...log.identity,
    startIndex,
    at: Math.floor(clock.now()),
    commitIndex: Math.min(commitIndex, durableIndex),
  };
}
