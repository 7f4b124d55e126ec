import { readContentSuspect } from './read-content-suspect.js';
import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { RunState } from '../run-state.js';

/**
 * Whether a request must not be sent, because its content or a part of its prompt crashes endpoints.
 * A request that may be sent as a probe is not blocked; just before it is sent, it takes the probe.
 */
export function isBlocked(
  { crashes }: RouterContext,
  request: RoutedRequest,
  state: RunState,
  isSending: boolean,
): boolean {
  if (crashes.isEmpty()) return false;
  const content = readContentSuspect(request, state);
  const blocked = crashes.listBlocked([content, ...state.partSuspects]);
  if (blocked.length === 0) return false;
  const mayProbe = isSending ? crashes.takeProbe : crashes.hasProbeTurn;
  return !mayProbe(blocked, content);
}
