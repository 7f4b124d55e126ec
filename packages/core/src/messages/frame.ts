import type { AccountId } from '../ids/account-id.js';
import type { DaemonId } from '../ids/daemon-id.js';
import type { EndpointId } from '../ids/endpoint-id.js';
import type { ServiceId } from '../ids/service-id.js';
import type { DaemonState } from '../state/daemon-state.js';
import type { HlcTime } from '../time/hlc-time.js';
import type { Member } from './member.js';

/**
 * The hub's reply to a report, which updates a daemon's view of the fleet. The hub holds the report
 * for 250 ms to 1 s, longer for a larger frame, but replies at once when the state changes or
 * the daemon lacks a part of the state or membership.
 */
export interface Frame {
  hub: DaemonId;
  /** Milliseconds for which the hub delayed the reply before it built the frame. */
  heldMs: number;
  /** Milliseconds since the hub last knew that a quorum of the control nodes was alive. */
  quorumAgeMs: number;
  stateVersion: number;
  /** The complete state, if the daemon's version is older and there is no patch from it. */
  state?: DaemonState;
  /** JSON merge patch from the daemon's version to `stateVersion`. */
  patch?: unknown;
  /** The daemon sends this back with its next report. */
  cursor: string;
  /** Whether `members` starts a complete list that replaces the daemon's members. */
  whole: boolean;
  /** Whether more members follow at once; the last of these frames has the loads and means. */
  more: boolean;
  /** Changed members with their position in their service's `loads`. */
  members: { member: Member; slot: number }[];
  removed: EndpointId[];
  /** Running requests of each service's members by slot, one byte each, in base64. */
  loads: Record<ServiceId, string>;
  /**
   * Mean number of running requests over a service's members, cold ones included. Members that are
   * leaving, draining or in a data centre that was taken out do not count.
   */
  means: Record<ServiceId, number>;
  /** This entry's share of the limit, for accounts near their limit. */
  shares: Record<AccountId, number>;
  at: HlcTime;
}
