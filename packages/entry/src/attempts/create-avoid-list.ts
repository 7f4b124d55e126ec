import type { Clock, EndpointId } from '@vanillarelay/core';

/** The hubs remove a silent endpoint after 3 s; until then every request would try it again. */
const avoidPeriodMs = 1_000;

/** Creates the list of endpoints that this entry recently failed to reach. */
export function createAvoidList({ clock }: { clock: Clock }) {
  const expiries = new Map<EndpointId, number>();

  /** Returns the tried endpoints together with those on the list. */
  const addTo = (tried: ReadonlySet<EndpointId>): ReadonlySet<EndpointId> => {
    if (expiries.size === 0) return tried;
    const now = clock.monotonic();
    expiries.forEach((expiresAt, endpoint) => expiresAt <= now && expiries.delete(endpoint));
    return new Set([...tried, ...expiries.keys()]);
  };

  return {
    add: (endpoint: EndpointId): void => {
      expiries.set(endpoint, clock.monotonic() + avoidPeriodMs);
    },
    addTo,
  };
}
