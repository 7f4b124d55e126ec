/** What decides the order in which waiting requests are sent. */
export interface Urgency {
  /** Priority of the account or route; 0 is the most urgent. */
  priority: number;
  /** Monotonic time by which the request must be answered. */
  deadlineAt: number;
  /** Aborted when the caller has disconnected or the deadline has passed. */
  signal: AbortSignal;
}
