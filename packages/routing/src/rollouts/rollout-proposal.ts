import type { ServiceId } from '@vanillarelay/core';
import type { Rollout } from './rollout.js';
import type { RolloutVerdict } from './rollout-verdict.js';

/** The end of a roll-out that a hub should propose. */
export interface RolloutProposal {
  service: ServiceId;
  startIndex: number;
  outcome: Exclude<Rollout['state'], 'inProgress'>;
  verdict: RolloutVerdict;
}
