import type { DaemonInfo } from '../messages/daemon-info.js';
import type { SharedState } from '../state/shared-state.js';

/** What a daemon knows of the fleet from its hub. */
export interface FleetView {
  state: SharedState;
  /** Whether the state was confirmed by a quorum since this daemon started. */
  isCurrent: boolean;
  hubs: string[];
  leader?: string;
  daemons: DaemonInfo[];
  /** Monotonic time of the last exchange with a hub that knew of a live quorum. */
  contactAt: number;
}
