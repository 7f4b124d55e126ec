/** When a reset is awaited behind the end of a connection, and for how long. */
export const resetLimits = {
  /** A request body up to this size arrives together with its head, before an answer is sent. */
  maxSmallBodyBytes: 8 * 1024,
  /**
   * Time in which a reset arrives that answers the last bytes of a request: an endpoint that ends its
   * process has no unread bytes then, so the end of its connection comes before the reset.
   */
  waitMs: 100,
} as const;
