import type { RoutedRequest } from './routed-request.js';

/** Monotonic time by which a request must be answered: the limit of its caller or of its route. */
export function computeDeadline({
  facts,
  route,
  startedAt,
}: Pick<RoutedRequest, 'facts' | 'route' | 'startedAt'>): number {
  return startedAt + Math.min(facts.deadlineMs ?? route.timeoutMs, route.timeoutMs);
}
