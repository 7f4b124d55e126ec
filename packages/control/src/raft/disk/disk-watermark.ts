/** Highest values seen from a disk; a message with lower ones comes from an older copy of it. */
export interface DiskWatermark {
  incarnation: number;
  /** Last index at the start of that incarnation; absent when only the incarnation is known. */
  startIndex?: number;
  /** Highest commit index that the node on this disk has reported. */
  commitIndex: number;
}
