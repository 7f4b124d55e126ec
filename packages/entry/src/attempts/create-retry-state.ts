import type { EndpointId, Refusal } from '@vanillarelay/core';

/** Creates the state that the attempts of one request share. */
export function createRetryState() {
  return {
    /** Endpoints that refused the request or were not reached in this round. */
    tried: new Set<EndpointId>(),
    holder: undefined as EndpointId | undefined,
    /** Whether an agent has named the holder of the chat, or refused for lack of capacity. */
    isHolderLookupDone: false,
    /** Number of times in this round that an agent named another holder of the chat. */
    redirects: 0,
    /** Attempts in this round. */
    dispatches: 0,
    /** Refusals in all rounds for lack of capacity or with a redirect that was not followed. */
    busyRefusals: 0,
    /** Attempts after which it is unknown whether the request has run. */
    failures: 0,
    round: 0,
    lastRefusal: undefined as Refusal | undefined,
  };
}
