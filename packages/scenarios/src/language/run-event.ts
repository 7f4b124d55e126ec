/** The start of a request at an endpoint. */
export interface RunEvent {
  /** Monotonic time in milliseconds. */
  at: number;
  endpoint: string;
  dataCentre: string;
  /** The idempotency key of the caller, or empty. */
  key: string;
}
