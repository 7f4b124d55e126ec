import type { Group } from '../raft/membership/group.js';

/** Position, time and membership of a snapshot, without the state. */
export interface Snapshot {
  index: number;
  term: number;
  /** Time stamp of the last entry in the snapshot. */
  at: number;
  group: Group;
}
