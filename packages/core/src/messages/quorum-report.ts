import type { DaemonId } from '../ids/daemon-id.js';
import type { DaemonState } from '../state/daemon-state.js';
import type { HlcTime } from '../time/hlc-time.js';

/** A control node's reply about its last evidence of a live quorum. */
export interface QuorumReport {
  hub: DaemonId;
  /** Milliseconds since the node's last evidence of a live quorum. */
  quorumAgeMs: number;
  stateVersion: number;
  /** The node's state, if it is newer than that of the daemon that asked. */
  state?: DaemonState;
  /** JSON merge patch from the asking daemon's version to `stateVersion`, instead of `state`. */
  patch?: unknown;
  at: HlcTime;
}
