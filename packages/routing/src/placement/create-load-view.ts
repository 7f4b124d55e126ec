import type { EndpointId } from '@vanillarelay/core';

/** Requests in flight at each endpoint, as one process counts them. */
type LoadCounts = Record<EndpointId, number>;

/** Makes the view of how many requests each endpoint holds, over all processes. */
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
    /** Requests at the endpoint: those of this process now, and of the others as last reported. */
    estimate: (id: EndpointId): number => (own.get(id) ?? 0) + (others[id] ?? 0),
    readOwn: (): LoadCounts => Object.fromEntries<number>(own),
    /** Replaces what the other processes hold. */
    updateOthers: (counts: Partial<LoadCounts>): void => {
      others = counts;
    },
  };
}
