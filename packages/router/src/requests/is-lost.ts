import type { AttemptOutcome } from './attempt-outcome.js';

/** Whether the connection to the endpoint was lost while it ran the request. */
export function isLost(outcome: AttemptOutcome): boolean {
  if (outcome.type === 'broken') return true;
  return outcome.type === 'failed' && !outcome.isSilent && outcome.status === undefined;
}
