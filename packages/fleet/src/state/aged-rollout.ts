import type { ServiceId } from '@vanillarelay/core';
import type { Rollout } from '@vanillarelay/routing';

/** The last roll-out of a service, with the time since its start in milliseconds. */
export interface AgedRollout {
  service: ServiceId;
  rollout: Rollout;
  ageMs: number;
}
