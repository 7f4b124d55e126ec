import type { Member } from './member.js';

/** What an agent reports about its endpoint. */
export interface Announcement extends Omit<Member, 'damped'> {
  /** Increases with each report of one incarnation. */
  sequence: number;
  /** Number of requests running at the endpoint. */
  running: number;
}
