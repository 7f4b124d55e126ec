import type { DaemonId, EndpointId, Hash } from '@vanillarelay/core';
import { computeEqualPart } from './compute-equal-part.js';

interface PlaceLimitsOptions {
  hash: Hash;
  self: DaemonId;
  /** Routers that may send requests, including this one, in the same order at all of them. */
  listRouters: () => readonly DaemonId[];
}

interface PlaceUse {
  endpoint: EndpointId;
  /** Requests that the endpoint may hold. */
  places: number;
  /** Requests in flight there over all routers. */
  load: number;
  /** Requests in flight there from this router. */
  own: number;
}

/**
 * Creates the limits of what this router may have in flight at each endpoint of a service that is
 * full. Until the next news that is what it had, and its equal part of the places that were free;
 * otherwise all routers would take the same free places. Without news it is an equal part of all.
 */
export function createPlaceLimits({ hash, self, listRouters }: PlaceLimitsOptions) {
  const limits = new Map<EndpointId, number>();
  const computePart = (key: string, places: number): number =>
    computeEqualPart({ hash, key, places, self, routers: listRouters() });

  return {
    mayTake: ({ endpoint, places, load, own }: PlaceUse, isOutdated: boolean): boolean => {
      if (isOutdated) return own < computePart(endpoint, places);
      const free = Math.max(0, places - load);
      const limit = limits.get(endpoint) ?? own + computePart(`${endpoint} ${free}`, free);
      limits.set(endpoint, limit);
      return own < limit;
    },
    /** Lets the limits be computed again after news of the other routers. */
    reset: (): void => limits.clear(),
  };
}
