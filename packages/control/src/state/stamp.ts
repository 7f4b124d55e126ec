/** Position and time of an entry in the log. */
export interface Stamp {
  index: number;
  /** Leader's wall time in milliseconds since the epoch. */
  at: number;
}
