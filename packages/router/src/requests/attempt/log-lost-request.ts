import type { EndpointRecord } from '@vanillarelay/routing';
import { readContentSuspect } from '../crashes/read-content-suspect.js';
import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { RunState } from '../run-state.js';

/** Logs what a request that was lost together with its endpoint consisted of. */
export function logLostRequest(
  { record }: RouterContext,
  request: RoutedRequest,
  state: RunState,
  { id, bornAt }: EndpointRecord,
): void {
  record('request.lost', {
    ...{ request: request.facts.id, endpoint: id, bornAt },
    hasStarted: state.progress.events > 0,
    content: readContentSuspect(request, state),
    parts: state.partSuspects,
  });
}
