/** A request that comes before a configuration is in force. */
export interface HeldRequest {
  /** Monotonic time at which it reached the VM, as estimated. */
  startedAt: number;
  /** How long its caller waits; undefined when it sets no limit. */
  deadlineMs?: number | undefined;
  /** Upper estimate of the memory that it occupies while its body is not read. */
  bytes: number;
  /** Aborted when the caller has disconnected. */
  signal: AbortSignal;
}
