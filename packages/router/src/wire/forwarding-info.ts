import type { AccountId, EndpointId } from '@vanillarelay/core';

/**
 * What the router communicates to an endpoint about a request, in headers that it adds to the
 * request.
 */
export interface ForwardingInfo {
  /** Id of the endpoint that the request is meant for; another one at its address refuses it. */
  endpoint: EndpointId;
  /** Remaining time, in milliseconds, after which the endpoint stops working on the request. */
  deadlineMs: number;
  account?: AccountId;
  /** Priority in the endpoint's queue; 0 is the most urgent. */
  priority: number;
  /**
   * Address of an endpoint that probably has the prompt cached, from which this one may copy the
   * cached part.
   */
  cacheSource?: string;
  /** Id of the event after which the stream resumes. */
  lastEventId?: string;
}
