import type { EndpointId } from '@vanillarelay/core';
import type { CrashReports, OutcomeCounts } from '@vanillarelay/routing';

/** Load, outcomes and crashes that one or more daemons observed on the requests they routed. */
export interface Observations {
  /** Requests in flight at each endpoint. */
  loads: Record<EndpointId, number>;
  outcomes: OutcomeCounts;
  crashes: CrashReports;
}
