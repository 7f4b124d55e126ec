import type { DaemonId } from '../ids/daemon-id.js';
import type { DaemonState } from '../state/daemon-state.js';
import type { HlcTime } from '../time/hlc-time.js';

/** A control node's reply to a daemon that asks whether there is a quorum. */
export interface QuorumReport {
  /** Id of the control node. */
  hub: DaemonId;
  /** Milliseconds since the node last knew that a quorum of the control nodes was alive. */
  quorumAgeMs: number;
  stateVersion: number;
  /** The node's complete state, if it is newer than the asking daemon's and there is no `patch`. */
  state?: DaemonState;
  /**
   * JSON merge patch (RFC 7396) from the asking daemon's version of the state to `stateVersion`; if
   * present, it replaces `state`.
   */
  patch?: unknown;
  /** Time of the reply. */
  at: HlcTime;
}
