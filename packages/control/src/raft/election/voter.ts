/** A node that a candidate asks for its vote. */
export interface Voter {
  id: string;
  address: string;
  /** Absent before the first membership is in the log. */
  diskId?: string;
}
