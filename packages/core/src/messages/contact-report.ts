import type { DataCentreId } from '../ids/data-centre-id.js';
import type { DaemonState } from '../state/daemon-state.js';
import type { Contact } from './contact.js';

/** What a peer tells a daemon that lost control. */
export interface ContactReport {
  contact: Contact;
  dataCentre: DataCentreId;
  /**
   * What the peer itself observed of control within the lease: a live quorum, a majority without
   * one, no majority that answered, or nothing yet.
   */
  sees: 'quorum' | 'quorumLost' | 'nothing' | 'unknown';
  /** Milliseconds since the peer last knew of a live quorum. */
  quorumAgeMs: number;
  /** The peer's state, when it is newer than the asker's. */
  state?: DaemonState;
}
