import type { RaftContext } from './raft-context.js';
import { releaseLeadership } from './release-leadership.js';

/** Follows a higher term; durable with the next sync. @internal */
export function updateTerm(context: RaftContext, term: number): void {
  const { incarnations, term: ownTerm } = context.log.readHardState();
  if (term <= ownTerm) return;
  releaseLeadership(context);
  // Failures of the disk are reported by the writer; every answer waits for a sync.
  context.log.saveHardState({ term, incarnations }).catch(() => {});
}
