import type { EndpointId, Member } from '@vanillarelay/core';

/** The endpoints of a service that may receive new requests, according to one view of the fleet. */
export interface Candidates {
  ids: readonly EndpointId[];
  members: ReadonlyMap<EndpointId, Member>;
  /** Maximum of requests running at one endpoint, computed from the mean load in the view. */
  bound: number;
  /** Maximum of requests running at one cold endpoint. */
  coldLimit: number;
}
