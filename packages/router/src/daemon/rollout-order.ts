import type { ServiceId } from '@vanillarelay/core';

/** An operator's order to move the traffic of a service to a version. */
export interface RolloutOrder {
  service: ServiceId;
  to: string;
  /** Time from the order to its deadline, in milliseconds. */
  durationMs: number;
}
