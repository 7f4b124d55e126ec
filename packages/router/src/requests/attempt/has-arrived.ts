import type { AttemptOutcome } from './attempt-outcome.js';

/** Whether the request may have reached an endpoint, even if that refused to run it. */
export function hasArrived(outcome: AttemptOutcome): boolean {
  if (outcome.type !== 'notRun') return true;
  return outcome.cause === 'replaced' || outcome.cause === 'rejected';
}
