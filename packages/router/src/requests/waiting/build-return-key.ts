import { readContentSuspect } from '../crashes/read-content-suspect.js';
import type { RoutedRequest } from '../routed-request.js';
import type { RunState } from '../run-state.js';

/** Builds the key by which a refused request is recognised: its account, route and content. */
export function buildReturnKey(request: RoutedRequest, state: RunState): string {
  return `${request.route.name} ${readContentSuspect(request, state)}`;
}
