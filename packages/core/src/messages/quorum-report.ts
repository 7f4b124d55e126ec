import type { DaemonId } from '../ids/daemon-id.js';
import type { DaemonState } from '../state/daemon-state.js';
import type { HlcTime } from '../time/hlc-time.js';

/** A control node's answer whether it knows of a live quorum. */
export interface QuorumReport {
  hub: DaemonId;
  /** Milliseconds since the node last knew of a live quorum. */
  quorumAgeMs: number;
  stateVersion: number;
  /** The node's state, if it is newer than that of the daemon that asked. */
  state?: DaemonState;
  /** JSON merge patch from the asking daemon's version to `stateVersion`, instead of `state`. */
  patch?: unknown;
  at: HlcTime;
}
