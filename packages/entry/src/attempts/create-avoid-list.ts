import type { Clock, EndpointId } from '@vanillarelay/core';

/** How long an unreachable endpoint is avoided; the hubs remove a silent one only after 3 s. */
const avoidPeriodMs = 1_000;

/** Creates the list of endpoints that this entry recently failed to reach. */
export function createAvoidList({ clock }: { clock: Clock }) {
  const expiries = new Map<EndpointId, number>();

  /** Returns a set of the tried endpoints and those on the list. */
  const merge = (tried: ReadonlySet<EndpointId>): ReadonlySet<EndpointId> => {
    if (expiries.size === 0) return tried;
    const now = clock.monotonic();
    expiries.forEach((expiresAt, endpoint) => expiresAt <= now && expiries.delete(endpoint));
    return new Set([...tried, ...expiries.keys()]);
  };

  return {
    add: (endpoint: EndpointId): void => {
      expiries.set(endpoint, clock.monotonic() + avoidPeriodMs);
    },
    merge,
  };
}
