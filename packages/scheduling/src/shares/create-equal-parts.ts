import type { DaemonId, EndpointId, Hash } from '@vanillarelay/core';
import { computeEqualPart } from './compute-equal-part.js';

interface EqualPartsOptions {
  hash: Hash;
  self: DaemonId;
  /** Routers that may send requests, including this one. */
  listRouters: () => readonly DaemonId[];
}

/** How long a computed part is used; computing it sorts all routers. */
const partTtlMs = 1_000;

/** Creates this router's equal parts in the places of endpoints. */
export function createEqualParts({ hash, self, listRouters }: EqualPartsOptions) {
  const parts = new Map<EndpointId, { places: number; part: number; at: number }>();
  return {
    read: (endpoint: EndpointId, places: number, now: number): number => {
      const known = parts.get(endpoint);
      if (known?.places === places && now - known.at < partTtlMs) return known.part;
      const part = computeEqualPart({ hash, endpoint, places, self, routers: listRouters() });
      parts.set(endpoint, { places, part, at: now });
      return part;
    },
  };
}
