/** What is known of a disk: a later message with lower values comes from an older copy of it. */
export interface DiskMark {
  incarnation: number;
  /** Last index at the start of that incarnation; absent when only the incarnation is known. */
  startIndex?: number;
  /** Highest commit index that the node on this disk has told. */
  commitIndex: number;
}
