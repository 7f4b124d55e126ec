import type { ServiceId } from '@vanillarelay/core';

/** A service that receives a share of a route's requests. */
export interface RouteTarget {
  service: ServiceId;
  weight: number;
}
