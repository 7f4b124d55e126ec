import type { DemandGroup } from '@vanillarelay/scheduling';
import type { RoutedRequest } from '../routed-request.js';
import { findUrgency } from './find-urgency.js';

/** Builds the demand group of a request: its urgency and account. */
export function buildDemandGroup(request: Pick<RoutedRequest, 'account' | 'route'>): DemandGroup {
  return `${findUrgency(request)} ${request.account?.id ?? ''}`;
}
