import type { AttemptOutcome } from './attempt-outcome.js';
import { isRepeatable } from './is-repeatable.js';
import type { RoutedRequest } from './routed-request.js';
import type { RunState } from './run-state.js';

/** Maximum number of sends, even when every endpoint proves that it did not run the request. */
const maxSends = 4;

/** Whether a request may be sent to another endpoint after an attempt with this outcome. */
export function isRetryAllowed(
  request: RoutedRequest,
  { result, possibleRuns }: RunState,
  outcome: AttemptOutcome,
): boolean {
  if (result.sends.length >= maxSends) return false;
  if (outcome.type === 'notRun') return true;
  if (!isRepeatable(request) || possibleRuns >= request.route.maxEndpoints) return false;
  const hasSentHead = request.caller.hasSentHead();
  return hasSentHead ? request.route.isResumable : outcome.type === 'failed';
}
