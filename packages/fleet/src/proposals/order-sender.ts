/** The sender of an order, which waits for its answer for a limited time. */
export interface OrderSender {
  /** Aborted once the sender has closed its connection. */
  signal: AbortSignal;
  /** Longest time since the sender sent the order, in milliseconds. */
  readAgeMs: () => number;
}
