import type { RoutedRequest } from '../routed-request.js';

/** Whether running a request more than once does no harm. */
export function isRepeatable({ route }: RoutedRequest): boolean {
  return route.repeat === 'idempotent' || (route.isStream && route.isResumable);
}
