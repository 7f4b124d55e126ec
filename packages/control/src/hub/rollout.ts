import type { DaemonId } from '@vanillarelay/core';

/** Progress of the rollout of the accepted state. */
export interface Rollout {
  /** Version that a quorum has accepted, as far as this node knows. */
  accepted: number;
  /** Lowest version among the daemons that reported in the last 10 s. */
  inForce: number;
  /** The daemons below the accepted version. */
  behind: { daemon: DaemonId; stateVersion: number }[];
}
