import type { RaftContext } from '../raft-context.js';
import { releaseLeadership } from './release-leadership.js';

/** Adopts a higher term, as a follower; durable with the next sync. @internal */
export function updateTerm(context: RaftContext, term: number): void {
  const hardState = context.log.readHardState();
  if (term <= hardState.term) return;
  releaseLeadership(context);
  // The log writer reports disk failures; every reply waits for a sync.
  context.log.saveHardState({ ...hardState, term, vote: undefined }).catch(() => {});
}
