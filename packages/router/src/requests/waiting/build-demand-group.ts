import type { DemandGroup } from '@vanillarelay/scheduling';
import type { RoutedRequest } from '../routed-request.js';
import { findUrgency } from './find-urgency.js';

/** Builds the group of a request, whose requests share places with those of other groups. */
export function buildDemandGroup(request: Pick<RoutedRequest, 'account' | 'route'>): DemandGroup {
  return `${findUrgency(request)} ${request.account?.id ?? ''}`;
}
