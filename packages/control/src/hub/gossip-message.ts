import type { AccountId, Announcement, DaemonId, EndpointId, HlcTime } from '@vanillarelay/core';
import type { DaemonRow } from './daemon-row.js';

/** Message from one hub to another: what it received since its last message, with ages. */
export interface GossipMessage {
  from: DaemonId;
  /** Changes with each start of the sender. */
  epoch: string;
  /** Hubs that the sender hears from; reports received by the others are forwarded to it. */
  hears: DaemonId[];
  announcements: { announcement: Announcement; origin: DaemonId; ageMs: number }[];
  /** Loads of members whose announcement has not changed. */
  loads: {
    id: EndpointId;
    incarnation: number;
    sequence: number;
    running: number;
    origin: DaemonId;
    ageMs: number;
  }[];
  daemons: { row: DaemonRow; origin: DaemonId; ageMs: number }[];
  /** Requests per second by account over the entries of each hub. */
  usage: { hub: DaemonId; rates: Record<AccountId, number>; ageMs: number }[];
  at: HlcTime;
}
