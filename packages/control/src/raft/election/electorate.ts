import type { Voter } from './voter.js';

/** The nodes that a candidate asks for their votes, and when these suffice. */
export interface Electorate {
  voters: Voter[];
  /** Whether the votes of these disks elect the candidate. */
  hasQuorum: (granted: ReadonlyMap<string, Voter>) => boolean;
}
