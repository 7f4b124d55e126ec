import type { AccountId, EndpointId } from '@vanillarelay/core';

/** Information that the router adds to a request for the endpoint. */
export interface Grant {
  endpoint: EndpointId;
  /** Remaining time, in milliseconds, after which the endpoint stops working on the request. */
  deadlineMs: number;
  account?: AccountId;
  /** Priority in the endpoint's own queue; 0 is the most urgent. */
  priority: number;
  /** Address of an endpoint that probably has the prompt cached. */
  cacheSource?: string;
  /** Event after which the stream resumes. */
  lastEventId?: string;
}
