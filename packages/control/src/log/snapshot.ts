import type { Group } from '../raft/group.js';

/** The state after one log entry, in place of all entries up to it. */
export interface Snapshot {
  index: number;
  term: number;
  /** Time stamp of the last entry. */
  at: number;
  group: Group;
  /** Encoded state in parts. */
  parts: string[];
}
