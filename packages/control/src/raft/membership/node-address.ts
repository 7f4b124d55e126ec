/** A live node with a disk. */
export interface NodeAddress {
  id: string;
  /** IP and port. */
  address: string;
  diskId: string;
}
