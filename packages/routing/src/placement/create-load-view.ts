import type { EndpointId } from '@vanillarelay/core';

/** Requests in flight at each endpoint, as one process counts them. */
type LoadCounts = Record<EndpointId, number>;

/** Creates the view of the requests in flight at each endpoint, over all processes. */
export function createLoadView() {
  const own = new Map<EndpointId, number>();
  let others: Partial<LoadCounts> = {};
  return {
    start: (id: EndpointId): void => {
      own.set(id, (own.get(id) ?? 0) + 1);
    },
    stop: (id: EndpointId): void => {
      const count = (own.get(id) ?? 0) - 1;
      if (count > 0) own.set(id, count);
      else own.delete(id);
    },
    /** Requests in flight: the current count of this process plus the last counts of the others. */
    estimate: (id: EndpointId): number => (own.get(id) ?? 0) + (others[id] ?? 0),
    readOwn: (): LoadCounts => Object.fromEntries<number>(own),
    /** Replaces the counts of the other processes. */
    updateOthers: (counts: Partial<LoadCounts>): void => {
      others = counts;
    },
  };
}
