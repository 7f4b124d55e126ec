import type { AccountId } from '../ids/account-id.js';
import type { DaemonId } from '../ids/daemon-id.js';
import type { EndpointId } from '../ids/endpoint-id.js';
import type { ServiceId } from '../ids/service-id.js';
import type { DaemonState } from '../state/daemon-state.js';
import type { HlcTime } from '../time/hlc-time.js';
import type { Member } from './member.js';

/** The hub's answer to a report. */
export interface Frame {
  hub: DaemonId;
  /** Milliseconds for which the hub held the exchange before it built the frame. */
  heldMs: number;
  /** Milliseconds since the hub last knew of a live quorum. */
  quorumAgeMs: number;
  stateVersion: number;
  /** Whole state, when the daemon's version is older and no patch reaches it. */
  state?: DaemonState;
  /** JSON merge patch from the daemon's version to `stateVersion`. */
  patch?: unknown;
  /** To be sent back with the next report. */
  cursor: string;
  /** True when `members` begins a membership that replaces the daemon's. */
  whole: boolean;
  /** True when further members follow at once; loads and means come with the last of these frames. */
  more: boolean;
  /** Changed members with their position in their service's `loads`. */
  members: { member: Member; slot: number }[];
  removed: EndpointId[];
  /** Running requests of each service's members by slot, one byte each, base64. */
  loads: Record<ServiceId, string>;
  /** Mean of running requests over the ready members of a service. */
  means: Record<ServiceId, number>;
  /** This entry's share of the limit, for accounts near their limit. */
  shares: Record<AccountId, number>;
  at: HlcTime;
}
