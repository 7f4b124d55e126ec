import type { Group } from '../membership/group.js';
import type { Electorate } from './electorate.js';
import type { Voter } from './voter.js';

/** How a node stands as a candidate, by the answers to its pre-votes. */
export interface Candidacy {
  electorate: Electorate;
  /** A node whose new disk votes in the seat of the one that it lost. */
  newDisk?: Voter & { diskId: string };
  /** The membership with that disk, which the candidate appends as leader. */
  replacement?: Group;
}
