import type { DataCentreId } from '../ids/data-centre-id.js';
import type { DaemonState } from '../state/daemon-state.js';
import type { Contact } from './contact.js';

/** A peer's reply to a daemon that has lost contact with control. */
export interface ContactReport {
  contact: Contact;
  dataCentre: DataCentreId;
  /**
   * What the peer itself observed within the lease: a live quorum, a majority of the control nodes
   * without a quorum, no majority that replied, or nothing yet.
   */
  sees: 'quorum' | 'quorumLost' | 'nothing' | 'unknown';
  /** Milliseconds since the peer last knew that a quorum of the control nodes was alive. */
  quorumAgeMs: number;
  /** The peer's state, if it is newer than that of the daemon that asked. */
  state?: DaemonState;
}
