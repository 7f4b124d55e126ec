/** Position and time of an entry in the log. */
export interface Stamp {
  index: number;
  /** Time of the entry in milliseconds since the epoch. */
  at: number;
}
