import type { DataCentreId, EndpointId } from '@vanillarelay/core';
import type { RouteCounts } from './route-counts.js';

/** What a roll-out is judged by. */
export interface RolloutCounts {
  /** Sums over all routers, by the name of a route. */
  routes: Readonly<Record<string, RouteCounts>>;
  /** Known endpoints of the new version. */
  endpoints: readonly { id: EndpointId; dataCentre: DataCentreId }[];
}
