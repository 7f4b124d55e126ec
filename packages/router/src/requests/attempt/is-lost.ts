import type { AttemptOutcome } from './attempt-outcome.js';

/** Whether the connection to the endpoint was lost while it ran the request. */
export function isLost(outcome: AttemptOutcome): boolean {
  if (outcome.type !== 'failed' && outcome.type !== 'broken') return false;
  if (outcome.isSpoilt || outcome.isSilent) return false;
  return outcome.type === 'broken' || outcome.status === undefined;
}
