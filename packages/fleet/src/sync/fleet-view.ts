import type { DaemonInfo } from '../messages/daemon-info.js';
import type { SharedState } from '../state/shared-state.js';

/** A daemon's view of the fleet, updated from its hub. */
export interface FleetView {
  state: SharedState;
  /** Whether a hub with recent quorum contact has confirmed the state since this daemon started. */
  isCurrent: boolean;
  hubs: string[];
  leader?: string;
  daemons: DaemonInfo[];
  /** Monotonic time of the last exchange with a hub that had recent contact with a quorum. */
  quorumContactAt: number;
}
