import type { EndpointId } from '@vanillarelay/core';

/** What an incarnation of an endpoint said of itself in its answers. */
interface EndpointNotice {
  bornAt: number;
  /** Whether it is leaving and accepts no new requests. */
  isLeaving: boolean;
  /** Time for which it accepts no further requests, in milliseconds; 0 when it named none. */
  waitMs: number;
}

/** What endpoints said of themselves in answers to one or more routers. */
export type EndpointNotices = Record<EndpointId, EndpointNotice>;
