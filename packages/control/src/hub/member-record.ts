import type { Announcement } from '@vanillarelay/core';

/** A member in the hub's table. */
export interface MemberRecord {
  announcement: Announcement;
  /** Position in the load vector. */
  slot: number;
  /** Generation of the table in which it last changed. */
  changedIn: number;
  /** Monotonic time of the last report. */
  seenAt: number;
}
