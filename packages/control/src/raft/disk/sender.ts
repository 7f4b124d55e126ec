/** Sender of a Raft message; lets peers detect an emptied disk or an older copy of one. */
export interface Sender {
  id: string;
  diskId: string;
  incarnation: number;
  /** Last index of the log at the start of this incarnation. */
  startIndex: number;
  /** Highest index that is committed and durable on the sender's own disk. */
  commitIndex: number;
  /** Wall time of the sender in milliseconds since the epoch. */
  at: number;
}
