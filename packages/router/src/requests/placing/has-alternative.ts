import { listCandidates } from './list-candidates.js';
import { maxSends } from '../attempt/max-sends.js';
import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { RunState } from '../run-state.js';

/**
 * Whether a request that an endpoint is running can be sent to another one now. An endpoint with a
 * health issue may be no better than the one that has the request, so it does not count.
 */
export function hasAlternative(
  context: RouterContext,
  { table, facts }: RoutedRequest,
  {
    service,
    tried,
    result,
    affinityKey,
  }: Pick<RunState, 'service' | 'tried' | 'result' | 'affinityKey'>,
): boolean {
  // The running attempt is not among the sends yet.
  if (result.sends.length + 1 >= maxSends) return false;
  if (context.budget.readRemaining(service) < 1) return false;
  const key = affinityKey ?? facts.id;
  const { open } = listCandidates(context, service, table.findService(service), key, tried);
  return open.some(({ id, healthIssue }) => healthIssue === undefined && !tried.has(id));
}
