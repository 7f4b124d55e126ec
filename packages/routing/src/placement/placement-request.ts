import type { EndpointId } from '@vanillarelay/core';

/** The properties of a request that placement uses. */
export interface PlacementRequest {
  /** Identifies the cached part of the prompt; absent for requests without a prompt. */
  affinityKey?: string;
  /** Mean load of all endpoints of the service, including those that accept no requests now. */
  meanLoad: number;
  /** Endpoints that this request has already been sent to. */
  tried: ReadonlySet<EndpointId>;
}
