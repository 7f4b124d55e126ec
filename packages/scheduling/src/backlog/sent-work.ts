import type { EndpointId } from '@vanillarelay/core';

/** Reading that was sent to an endpoint and has not begun there, as far as is known. */
export interface SentWork {
  endpoint: EndpointId;
  /** Milliseconds of an endpoint of usual speed. */
  readMs: number;
  /** Monotonic time at which the endpoint is expected to begin with it. */
  beginsAt: number;
}
