import type { EndpointId } from '@vanillarelay/core';
import type { CrashReports, OutcomeCounts, RateReports } from '@vanillarelay/routing';

/** Loads, outcomes, crashes and request rates that one or more daemons observed on the requests they routed. */
export interface Observations {
  /** Requests in flight at each endpoint. */
  loads: Record<EndpointId, number>;
  outcomes: OutcomeCounts;
  crashes: CrashReports;
  rates: RateReports;
}
