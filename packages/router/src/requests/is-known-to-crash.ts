import { readFingerprint } from './read-fingerprint.js';
import type { RoutedRequest } from './routed-request.js';
import type { RouterContext } from './router-context.js';
import type { RunState } from './run-state.js';

/** Whether the request was running during so many crashes that it is refused. */
export function isKnownToCrash(
  { crashes }: RouterContext,
  request: RoutedRequest,
  state: RunState,
): boolean {
  return !crashes.isEmpty() && crashes.isKnownToCrash(readFingerprint(request, state));
}
