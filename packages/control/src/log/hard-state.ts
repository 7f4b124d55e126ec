/** State that must be durable before a node replies: term, vote and its peers' incarnations. */
export interface HardState {
  term: number;
  /** Disk id of the candidate that got this node's vote in `term`. */
  vote?: string;
  /** Highest incarnation seen of each disk; a lower one comes from an older copy of that disk. */
  incarnations: Record<string, number>;
  /** Index of a membership that is known to be committed. */
  committedGroupIndex?: number;
  /** Set when peers proved that this disk is an older copy; the next start begins empty. */
  isStale?: boolean;
}
