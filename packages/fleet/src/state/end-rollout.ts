import type { ServiceId } from '@vanillarelay/core';
import type { Rollout } from '@vanillarelay/routing';

/** A command of a hub that ends a roll-out after its verdict. */
export interface EndRollout {
  type: 'endRollout';
  service: ServiceId;
  /** The roll-out that the verdict is about. */
  startIndex: number;
  outcome: Exclude<Rollout['state'], 'inProgress'>;
}
