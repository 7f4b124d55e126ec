import type { AttemptOutcome } from './attempt-outcome.js';
import { isLost } from './is-lost.js';
import { readFingerprint } from './read-fingerprint.js';
import type { RoutedRequest } from './routed-request.js';
import type { RouterContext } from './router-context.js';
import type { RunState } from './run-state.js';

/**
 * Records a possible crash when the connection to the endpoint was lost or its stream stopped while
 * it ran the request. A complete answer clears the record of the request.
 */
export function recordCrash(
  { crashes }: RouterContext,
  request: RoutedRequest,
  state: RunState,
  outcome: AttemptOutcome,
): void {
  if (isLost(outcome)) crashes.recordCrash(readFingerprint(request, state));
  else if (outcome.type === 'answered' && !crashes.isEmpty()) {
    crashes.clear(readFingerprint(request, state));
  }
}
