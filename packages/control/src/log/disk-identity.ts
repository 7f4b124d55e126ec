/** Names a disk; an emptied disk gets another name. */
export interface DiskIdentity {
  diskId: string;
  /** Grows with each start of a node on this disk. */
  incarnation: number;
}
