import type { EndpointId, Member } from '@vanillarelay/core';

/** The endpoints of a service that may get new work, as of one view of the fleet. */
export interface Candidates {
  ids: readonly EndpointId[];
  members: ReadonlyMap<EndpointId, Member>;
  /** Requests that an endpoint runs at once at most, from the mean of the view. */
  bound: number;
  /** Requests that a cold endpoint bears at once. */
  coldLimit: number;
}
