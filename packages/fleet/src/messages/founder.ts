/** A member of the initial control group. */
export interface Founder {
  id: string;
  /** IP and port. */
  address: string;
}
