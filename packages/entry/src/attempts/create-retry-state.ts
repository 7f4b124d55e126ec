import type { EndpointId, Refusal } from '@vanillarelay/core';

/** Creates the state that the attempts of one request share. */
export function createRetryState() {
  return {
    tried: new Set<EndpointId>(),
    holder: undefined as EndpointId | undefined,
    isHomeAsked: false,
    /** How often an agent named another holder of the chat in this round. */
    redirects: 0,
    /** Attempts in this round. */
    dispatches: 0,
    /** Refusals in all rounds for lack of room or with a redirect that was not followed. */
    busyRefusals: 0,
    /** Attempts after which it is unknown whether the request has run. */
    failures: 0,
    round: 0,
    last: undefined as Refusal | undefined,
  };
}
