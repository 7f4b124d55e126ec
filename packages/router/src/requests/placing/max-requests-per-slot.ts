/**
 * Maximum number of requests in flight per slot of an endpoint; with more, a request would wait too
 * long there.
 */
export const maxRequestsPerSlot = 3;
