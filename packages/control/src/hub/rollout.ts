import type { DaemonId } from '@vanillarelay/core';

/** How far the accepted state has spread. */
export interface Rollout {
  /** Version that a quorum has accepted, as far as this node knows. */
  accepted: number;
  /** Lowest version at which the daemons run that reported in the last 10 s. */
  inForce: number;
  /** The daemons that run below the accepted version. */
  behind: { daemon: DaemonId; stateVersion: number }[];
}
