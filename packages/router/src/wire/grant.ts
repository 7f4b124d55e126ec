import type { AccountId, EndpointId } from '@vanillarelay/core';

/** What this system tells an endpoint about a request besides what the caller sent. */
export interface Grant {
  endpoint: EndpointId;
  /** Time that is left, in milliseconds; the endpoint stops work after it. */
  deadlineMs: number;
  account?: AccountId;
  /** Rank for the endpoint's own queue; 0 is the most urgent. */
  priority: number;
  /** Address of an endpoint that holds the prompt in its cache. */
  cacheSource?: string;
  /** The stream goes on after this event. */
  lastEventId?: string;
}
