import type { EndpointId } from '@vanillarelay/core';
import type {
  CrashReports,
  EndpointNotices,
  OutcomeCounts,
  RateReports,
} from '@vanillarelay/routing';
import type { DemandReports, HeldTokens } from '@vanillarelay/scheduling';

/**
 * Loads, outcomes, crashes, request rates and what endpoints said, as one or more daemons observed
 * them on the requests they routed.
 */
export interface Observations {
  /** Requests in flight at each endpoint. */
  loads: Record<EndpointId, number>;
  outcomes: OutcomeCounts;
  crashes: CrashReports;
  rates: RateReports;
  notices: EndpointNotices;
  /** Demand for services for which requests wait; absent while none waits. */
  demand?: DemandReports;
  /** Tokens held at engines that are not far from their memory; absent while there are none. */
  heldTokens?: HeldTokens;
}
