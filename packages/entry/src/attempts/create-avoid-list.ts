import type { Clock, EndpointId } from '@vanillarelay/core';

/** The hubs drop a silent endpoint after 3 s; until then every request would try it again. */
const avoidMs = 1_000;

/** Makes the list of endpoints that this entry could not reach a moment ago. */
export function createAvoidList({ clock }: { clock: Clock }) {
  const expiries = new Map<EndpointId, number>();

  /** The endpoints tried, and those to avoid with them. */
  const addTo = (tried: ReadonlySet<EndpointId>): ReadonlySet<EndpointId> => {
    if (expiries.size === 0) return tried;
    const now = clock.monotonic();
    expiries.forEach((expiresAt, endpoint) => expiresAt <= now && expiries.delete(endpoint));
    return new Set([...tried, ...expiries.keys()]);
  };

  return {
    add: (endpoint: EndpointId): void => {
      expiries.set(endpoint, clock.monotonic() + avoidMs);
    },
    addTo,
  };
}
