/** A node of the control group on one disk. */
export interface GroupMember {
  id: string;
  /** IP and port. */
  address: string;
  /** The disk that the member is bound to; on another disk the node is not this member. */
  diskId: string;
  /** A learner receives the log and never votes. */
  role: 'voter' | 'learner';
}
