import type { Announcement, DaemonId } from '@vanillarelay/core';
import type { Damping } from './damping.js';

/** A member in the hub's table. */
export interface MemberRecord {
  announcement: Announcement;
  /** Position in the load vector of its service. */
  slot: number;
  /** Generation of the table in which the member last changed. */
  changedIn: number;
  /** Monotonic time of the last report that any hub received. */
  seenAt: number;
  /** The hub that received the last report. */
  origin: DaemonId;
  /** Monotonic time at which this hub learned of the last report. */
  learnedAt: number;
  /** Monotonic time at which this hub learned of a change of the origin. */
  movedAt: number;
  damping: Damping;
  /** Result of `damping` at the last update. */
  damped: boolean;
  /** Whether daemons of other services get it too, to ask it when they lose the control nodes. */
  isContactPeer: boolean;
}
