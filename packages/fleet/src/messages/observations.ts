import type { EndpointId } from '@vanillarelay/core';
import type { CrashCounts, OutcomeCounts } from '@vanillarelay/routing';

/** What one or more daemons know from their own requests. */
export interface Observations {
  /** Requests in flight at each endpoint. */
  loads: Record<EndpointId, number>;
  outcomes: OutcomeCounts;
  crashes: CrashCounts;
}
