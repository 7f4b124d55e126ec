import type { EndpointId } from '@vanillarelay/core';
import type { ContentPosition } from '../content/content-position.js';
import type { Observations } from './observations.js';
import type { DaemonInfo } from './daemon-info.js';

/** Asks a hub for changes and reports this daemon's observations. */
export interface SyncRequest {
  from: DaemonInfo;
  /** Whether the sender is a hub; hubs exchange only the data of their own daemons. */
  isHub: boolean;
  /** Index of the shared state that the sender has. */
  stateIndex: number;
  /** What the sender holds and is receiving of the configuration. */
  content: ContentPosition;
  /** The hub's incarnation at the sender's last exchange with it. */
  hubIncarnation: string;
  /** Position in the hub's sequence of endpoint changes. */
  cursor: number;
  /** Version of the list of daemons that the sender has. */
  daemonsVersion: number;
  /** The sender's own observations. */
  observations: Observations;
  /** Position in the hub's sequence of announcements. */
  heardCursor: number;
  /**
   * Endpoints announced to the sender since its last exchange. Empty from a hub: the other hubs
   * read these from its replies.
   */
  heard: EndpointId[];
  /** How long the hub may wait for a change, in milliseconds. */
  waitMs: number;
  /**
   * How long the hub may wait until its state is confirmed by a quorum, in milliseconds. Absent once
   * the sender has such a state, and in messages of earlier versions.
   */
  quorumWaitMs?: number;
}
