import type { DaemonId } from '../ids/daemon-id.js';
import type { DaemonState } from '../state/daemon-state.js';
import type { HlcTime } from '../time/hlc-time.js';

/** A control node's answer to the question whether it knows of a live quorum. */
export interface QuorumReport {
  hub: DaemonId;
  /** Milliseconds since the node last knew of a live quorum. */
  quorumAgeMs: number;
  stateVersion: number;
  /** The node's state, when it is newer than the asker's. */
  state?: DaemonState;
  /** JSON merge patch from the asker's version to `stateVersion`, instead of `state`. */
  patch?: unknown;
  at: HlcTime;
}
