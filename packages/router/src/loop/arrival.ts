/** Estimated arrival of a request or connection at the VM. */
export interface Arrival {
  /** Monotonic time. */
  at: number;
  /** Number of the event loop's turn in which it was read. */
  turn: number;
}
