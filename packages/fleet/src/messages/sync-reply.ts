import type { EndpointId } from '@vanillarelay/core';
import type { EndpointRecord } from '@vanillarelay/routing';
import type { SharedState } from '../state/shared-state.js';
import type { DaemonInfo } from './daemon-info.js';
import type { Observations } from './observations.js';

/** What a hub answers to an exchange. */
export interface SyncReply {
  hubIncarnation: string;
  cursor: number;
  /** Endpoints that changed since the asker's cursor. */
  records: EndpointRecord[];
  /** For a hub only: endpoints whose announcements reached this hub's daemons since its last exchange. */
  heard: EndpointId[];
  heardCursor: number;
  /** Present when newer than what the asker has. */
  state?: SharedState;
  /** Milliseconds since the hub knew of a live quorum. */
  quorumAgeMs: number;
  /** Address of the leader, if known. */
  leader?: string;
  /** Addresses of the control group. */
  hubs: string[];
  daemonsVersion: number;
  /** Present when the list changed. */
  daemons?: DaemonInfo[];
  /** What the other daemons hold and saw. */
  observations: Observations;
}
