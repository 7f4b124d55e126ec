import type { EndpointId } from '@vanillarelay/core';

/** What placement needs to know of a request. */
export interface PlacementRequest {
  /** Names what an engine's cache should hold; absent for requests without a prompt. */
  affinityKey?: string;
  /** Mean load of all endpoints of the service, also of those that take no work now. */
  mean: number;
  /** Endpoints that this request was sent to before. */
  tried: ReadonlySet<EndpointId>;
}
