import type { EndpointId, Member } from '@vanillarelay/core';

/** The endpoints of a service that may receive new requests, according to one view of the fleet. */
export interface Candidates {
  ids: readonly EndpointId[];
  members: ReadonlyMap<EndpointId, Member>;
  /** Maximum number of requests at one endpoint, computed from the mean load in the view. */
  bound: number;
  /** Maximum number of requests at one cold endpoint. */
  coldLimit: number;
}
