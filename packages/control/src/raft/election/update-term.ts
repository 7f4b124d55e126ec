import type { RaftContext } from '../raft-context.js';
import { releaseLeadership } from './release-leadership.js';

/** Adopts a higher term, as a follower; durable with the next sync. @internal */
export function updateTerm(context: RaftContext, term: number): void {
  const { incarnations, term: ownTerm } = context.log.readHardState();
  if (term <= ownTerm) return;
  releaseLeadership(context);
  // The log writer reports disk failures; every reply waits for a sync.
  context.log.saveHardState({ term, incarnations }).catch(() => {});
}
