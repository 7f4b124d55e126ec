import type { AttemptOutcome } from './attempt-outcome.js';

/** Whether the connection to the endpoint was lost while it ran the request. */
export function isLost(outcome: AttemptOutcome): boolean {
  if (outcome.type === 'broken') return outcome.isSpoilt !== true;
  if (outcome.type !== 'failed' || outcome.isSpoilt) return false;
  return !outcome.isSilent && outcome.status === undefined;
}
