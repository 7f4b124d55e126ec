import type { ServiceId } from '@vanillarelay/core';
import type { Rollout } from './rollout.js';

/** The last roll-out of a service, with the time since its order. */
export interface KnownRollout {
  service: ServiceId;
  rollout: Rollout;
  ageMs: number;
}
