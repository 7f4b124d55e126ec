/** Request of a daemon that stops: the leader removes its voter from the control group. */
export interface RemovalRequest {
  /** The disk of the voter. */
  diskId: string;
}
