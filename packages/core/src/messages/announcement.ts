import type { Member } from './member.js';

/** What an agent tells of its endpoint in each report. */
export interface Announcement extends Omit<Member, 'damped'> {
  /** Grows with each report of one incarnation. */
  sequence: number;
  /** Requests running at the endpoint. */
  running: number;
}
