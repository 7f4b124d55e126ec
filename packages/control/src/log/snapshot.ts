import type { Group } from '../raft/group.js';

/** Which entry a snapshot stands for; the state itself stays on the disk. */
export interface Snapshot {
  index: number;
  term: number;
  /** Time stamp of the last entry. */
  at: number;
  group: Group;
}
