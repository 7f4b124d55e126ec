import { buildCandidateRequest } from './build-candidate-request.js';
import { listCandidates } from './list-candidates.js';
import { maxSends } from '../attempt/max-sends.js';
import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { RunState } from '../run-state.js';

/**
 * Whether a request that an endpoint is running can be sent to another one now. An endpoint with a
 * health issue may be no better than the one that has the request, so it does not count. With
 * `needsFreeSlot`, neither does one that has as many requests as slots: it may refuse this one, which
 * its endpoint has lost by then.
 */
export function hasAlternative(
  context: RouterContext,
  request: RoutedRequest,
  {
    service,
    tried,
    result,
    affinityKey,
    memoryNeed,
  }: Pick<RunState, 'service' | 'tried' | 'result' | 'affinityKey' | 'memoryNeed'>,
  needsFreeSlot: boolean,
): boolean {
  // The running attempt is not among the sends yet.
  if (result.sends.length + 1 >= maxSends) return false;
  if (context.budget.readRemaining(service) < 1) return false;
  const candidateRequest = buildCandidateRequest(request, { affinityKey, tried, memoryNeed });
  const routed = request.table.findService(service);
  const { open } = listCandidates(context, service, routed, candidateRequest);
  return open.some(
    ({ id, healthIssue, load, slots }) =>
      healthIssue === undefined && !tried.has(id) && (!needsFreeSlot || load < slots),
  );
}
