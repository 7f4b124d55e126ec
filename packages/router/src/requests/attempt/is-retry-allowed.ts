import type { AttemptOutcome } from './attempt-outcome.js';
import { isLost } from './is-lost.js';
import { isRepeatable } from './is-repeatable.js';
import { maxSends } from './max-sends.js';
import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { RunState } from '../run-state.js';

/** Whether a request may be sent to another endpoint after an attempt with this outcome. */
export function isRetryAllowed(
  { crashes }: Pick<RouterContext, 'crashes'>,
  request: RoutedRequest,
  state: RunState,
  outcome: AttemptOutcome,
): boolean {
  const { result, possibleRuns, partSuspects, progress } = state;
  if (result.sends.length >= maxSends) return false;
  if (outcome.type === 'notRun') return outcome.cause !== 'invalid';
  if (!isRepeatable(request) || possibleRuns >= request.route.maxEndpoints) return false;
  // A prompt part that no answer has begun with may have crashed the endpoint.
  const hasStarted = progress.events > 0;
  if (isLost(outcome) && !hasStarted && !crashes.haveStarted(partSuspects)) return false;
  const hasSentHead = request.caller.hasSentHead();
  return hasSentHead ? request.route.isResumable : outcome.type === 'failed';
}
