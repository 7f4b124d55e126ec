import type { EndpointId, Refusal } from '@vanillarelay/core';

/** Makes what the attempts of one request have found so far. */
export function createProgress() {
  return {
    tried: new Set<EndpointId>(),
    holder: undefined as EndpointId | undefined,
    isHomeAsked: false,
    /** Times that an agent named another holder in this round. */
    redirects: 0,
    /** Dispatches in this round. */
    dispatches: 0,
    /** Refusals in this round by endpoints that had no room. */
    busyRefusals: 0,
    /** Dispatches after which the outcome was unknown. */
    failures: 0,
    round: 0,
    last: undefined as Refusal | undefined,
  };
}
