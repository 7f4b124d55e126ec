/** Identity of a disk; an emptied disk gets a new one. */
export interface DiskIdentity {
  diskId: string;
  /** Grows with each start of a node on this disk. */
  incarnation: number;
}
