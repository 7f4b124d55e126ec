import type { EndpointId } from '@vanillarelay/core';
import type {
  CrashReports,
  EndpointNotices,
  OutcomeCounts,
  RateReports,
  VersionReports,
} from '@vanillarelay/routing';

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
  /** Number of these daemons that are late; absent for none, and in messages of earlier versions. */
  lateRouters?: number;
  /** Answers by version in roll-outs that are in progress; absent without one. */
  versions?: VersionReports;
}
