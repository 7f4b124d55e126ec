import type { Candidate } from '@vanillarelay/routing';

/** Number of endpoints of a service that were excluded or have a health issue, by reason. */
type PassedOver = Partial<
  Record<
    | 'out'
    | 'version'
    | 'leaving'
    | 'cold'
    | 'limited'
    | 'waiting'
    | 'full'
    | 'memory'
    | 'reserved'
    | 'share'
    | NonNullable<Candidate['healthIssue']>,
    number
  >
>;

/** The endpoints of a service that may receive a request, and what excludes the others. */
export interface CandidateList {
  /** Endpoints that may receive a request now. */
  open: Candidate[];
  /**
   * Number of endpoints of the service that accept the request, even if they have no capacity now, and
   * of those that were tried although a retry may not use their version.
   */
  total: number;
  /**
   * Mean load of the endpoints of the service, including those that accept no requests now, but not
   * those that refuse connections.
   */
  meanLoad: number;
  /**
   * Time until one of the endpoints has capacity, in milliseconds; 0 when that is unknown, as a
   * request may end at any time.
   */
  waitMs: number;
  passedOver: PassedOver;
  /**
   * Places at the endpoints that accept the request. A place is room for one request in flight; an
   * endpoint has `slots` times `maxRequestsPerSlot` of them.
   */
  places: number;
  /** Requests in flight at these endpoints, from all routers. */
  load: number;
  /** Places at these endpoints that are not in use, even if a limit excludes an endpoint now. */
  freePlaces: number;
}
