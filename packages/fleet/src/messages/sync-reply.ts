import type { EndpointId } from '@vanillarelay/core';
import type { EndpointRecord } from '@vanillarelay/routing';
import type { ContentPart } from '../content/content-part.js';
import type { StateSummary } from '../state/state-summary.js';
import type { DaemonInfo } from './daemon-info.js';
import type { Observations } from './observations.js';
import type { RolloutAge } from './rollout-age.js';

/** A hub's reply to a `SyncRequest`. */
export interface SyncReply {
  hubIncarnation: string;
  /** Position to send as `cursor` of the next request. */
  cursor: number;
  /** Endpoints that changed since the cursor of the request, oldest change first. */
  records: EndpointRecord[];
  /** Whether the hub has further records after `cursor`. */
  hasMoreRecords: boolean;
  /** In replies to hubs: endpoints announced to this hub's daemons since the last exchange. */
  heard: EndpointId[];
  /** Position to send as `heardCursor` of the next request. */
  heardCursor: number;
  /** Present when it is newer than `stateIndex` of the request. */
  state?: StateSummary;
  /** The next part of a configuration that the sender of the request lacks. */
  part?: ContentPart;
  /** Ages of the roll-outs in progress and of those started a short time ago; absent without any. */
  rolloutAges?: RolloutAge[];
  /** Milliseconds since the hub's state was last known to hold everything that was committed. */
  stateAgeMs: number;
  /** Address of the leader, if known. */
  leader?: string;
  /** Addresses of the control group's members. */
  hubs: string[];
  daemonsVersion: number;
  /** Present when the list changed since `daemonsVersion` of the request. */
  daemons?: DaemonInfo[];
  /** Summed observations of the other daemons. */
  observations: Observations;
}
