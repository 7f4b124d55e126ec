import type { RoutedRequest } from '../routed-request.js';

/** Urgency of a request: the priority of its account before that of its route; 0 is the first. */
export function findUrgency({ account, route }: Pick<RoutedRequest, 'account' | 'route'>): number {
  return account?.priority ?? route.priority;
}
