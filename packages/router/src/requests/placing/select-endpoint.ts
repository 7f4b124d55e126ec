import { ResultCode } from '@vanillarelay/core';
import { buildCandidateRequest } from './build-candidate-request.js';
import type { Choice } from './choice.js';
import { listCandidates } from './list-candidates.js';
import { placeRequest } from './place-request.js';
import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { RunState } from '../run-state.js';
import { isScheduled } from '../waiting/is-scheduled.js';
import { selectAllowed } from '../waiting/select-allowed.js';

/**
 * Selects the endpoint for a request. Returns undefined when the request should wait, because all
 * are full, or started recently (cold) and already receive as many requests as a cold endpoint may.
 * When no endpoint can have capacity by the end of the wait, the request is refused at once.
 */
export function selectEndpoint(
  context: RouterContext,
  request: RoutedRequest,
  state: RunState,
  waitUntil: number,
): Choice | undefined {
  const { clock } = context;
  const { service, tried, signal } = state;
  const routed = request.table.findService(service);
  const candidateRequest = buildCandidateRequest(request, state);
  const candidates = listCandidates(context, service, routed, candidateRequest);
  const { total, meanLoad, waitMs, passedOver } = candidates;
  const open = isScheduled(context)
    ? selectAllowed(context, request, state, candidates)
    : candidates.open;
  const placement = placeRequest(context, request, state, open, meanLoad);
  if (placement) return { ...placement, passedOver };
  if (total === 0)
    return { code: ResultCode.noEndpoint, reason: 'no endpoint takes work', passedOver };
  if (tried.size >= total)
    return { code: ResultCode.noEndpoint, reason: 'all were tried', passedOver };
  if (waitMs > 0 && clock.monotonic() + waitMs > waitUntil) {
    const reason = 'all are at their rate limit or have named a wait';
    return { code: ResultCode.endpointBusy, reason, retryAfterMs: waitMs, passedOver };
  }
  if (signal.aborted || clock.monotonic() >= waitUntil) {
    return { code: ResultCode.endpointBusy, reason: 'all are full or cold', passedOver };
  }
  return undefined;
}
