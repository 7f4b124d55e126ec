import type { DataCentreId } from '../ids/data-centre-id.js';
import type { DaemonState } from '../state/daemon-state.js';

/** What a peer tells a daemon that lost control. */
export interface ContactReport {
  contact: 'attached' | 'relayed' | 'leaderless' | 'isolated';
  dataCentre: DataCentreId;
  /** Milliseconds since the peer last knew of a live quorum. */
  quorumAgeMs: number;
  /** The peer's state, when it is newer than the asker's. */
  state?: DaemonState;
}
