/** A node of the first control group. */
export interface Founder {
  id: string;
  /** IP and port. */
  address: string;
}
