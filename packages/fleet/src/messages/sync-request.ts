import type { EndpointId } from '@vanillarelay/core';
import type { Observations } from './observations.js';
import type { DaemonInfo } from './daemon-info.js';

/** Asks a hub for what has changed, and tells it what this daemon holds. */
export interface SyncRequest {
  from: DaemonInfo;
  /** Hubs exchange only what they heard from their own daemons. */
  isHub: boolean;
  /** Index of the shared state that the sender has. */
  stateIndex: number;
  /** The hub's incarnation at the sender's last exchange with it. */
  hubIncarnation: string;
  /** Position in the hub's order of endpoint changes. */
  cursor: number;
  /** Version of the list of daemons that the sender has. */
  daemonsVersion: number;
  /** What the sender holds and saw itself. */
  observations: Observations;
  /** Position in the hub's order of announcements. */
  heardCursor: number;
  /** Endpoints that announced themselves at the sender since its last exchange; hubs ask each other. */
  heard: EndpointId[];
  /** How long the hub may wait for a change, in milliseconds. */
  waitMs: number;
}
