import type { EndpointId } from '@vanillarelay/core';
import type { EndpointNotices } from './endpoint-notices.js';

/** Merges the notices of several routers; only those of the newest incarnation count. */
export function mergeEndpointNotices(parts: readonly EndpointNotices[]): EndpointNotices {
  const merged: EndpointNotices = {};
  parts.forEach((notices) => {
    Object.entries(notices).forEach(([key, notice]) => {
      const id = key as EndpointId;
      const known = merged[id];
      if (!known || notice.bornAt > known.bornAt) merged[id] = notice;
      else if (notice.bornAt === known.bornAt) {
        merged[id] = {
          bornAt: known.bornAt,
          isLeaving: known.isLeaving || notice.isLeaving,
          waitMs: Math.max(known.waitMs, notice.waitMs),
        };
      }
    });
  });
  return merged;
}
