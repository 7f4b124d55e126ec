import type { EndpointId } from '@vanillarelay/core';
import type {
  CrashReports,
  EndpointNotices,
  OutcomeCounts,
  RateReports,
  VersionReports,
} from '@vanillarelay/routing';
import type { DemandReports, HeldTokens, WorkReports } from '@vanillarelay/scheduling';

/**
 * Loads, outcomes, crashes, request rates, unread prompts and what endpoints said, as one or more
 * daemons observed them on the requests they routed.
 */
export interface Observations {
  /** Requests in flight at each endpoint. */
  loads: Record<EndpointId, number>;
  outcomes: OutcomeCounts;
  crashes: CrashReports;
  rates: RateReports;
  notices: EndpointNotices;
  /** Reading that was sent to each endpoint and has not begun there. */
  work: WorkReports;
  /** Number of these daemons that are late; absent for none, and in messages of earlier versions. */
  lateRouters?: number;
  /** Answers by version in roll-outs that are in progress; absent without one. */
  versions?: VersionReports;
  /** Demand for services for which requests wait; absent while none waits. */
  demand?: DemandReports;
  /** Tokens held at engines that are not far from their memory; absent while there are none. */
  heldTokens?: HeldTokens;
}
