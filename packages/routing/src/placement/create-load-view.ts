import type { EndpointId } from '@vanillarelay/core';

/** Requests in flight at each endpoint, as one process counts them. */
type LoadCounts = Record<EndpointId, number>;

/** Creates the view of the requests in flight at each endpoint, over all processes. */
export function createLoadView() {
  const local = new Map<EndpointId, number>();
  let remote: Partial<LoadCounts> = {};
  return {
    start: (id: EndpointId): void => {
      local.set(id, (local.get(id) ?? 0) + 1);
    },
    stop: (id: EndpointId): void => {
      const count = (local.get(id) ?? 0) - 1;
      if (count > 0) local.set(id, count);
      else local.delete(id);
    },
    /** Requests in flight: the current count of this process plus the last counts of the others. */
    estimate: (id: EndpointId): number => (local.get(id) ?? 0) + (remote[id] ?? 0),
    /** Requests in flight from this process. */
    readOwn: (id: EndpointId): number => local.get(id) ?? 0,
    readLocal: (): LoadCounts => Object.fromEntries<number>(local),
    /** Replaces the counts of the other processes. */
    updateRemote: (counts: Partial<LoadCounts>): void => {
      remote = counts;
    },
  };
}
