import { readContentSuspect } from './read-content-suspect.js';
import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { RunState } from '../run-state.js';

/**
 * Whether a request must not be sent, because its content or a part of its prompt crashes endpoints.
 * A request that may be sent as a probe is not blocked.
 */
export function isBlocked(
  { crashes }: RouterContext,
  request: RoutedRequest,
  state: RunState,
): boolean {
  if (crashes.isEmpty()) return false;
  const suspects = [readContentSuspect(request, state), ...state.partSuspects];
  const blocked = crashes.listBlocked(suspects);
  return blocked.length > 0 && !crashes.takeProbe(blocked);
}
