/** Penalty of a flapping endpoint, as in route flap damping (RFC 2439). */
export interface Damping {
  /** Adds the penalty of one flap at a monotonic time. */
  add(now: number): void;
  /** Whether the endpoint counts as flapping at a monotonic time. */
  isDamped(now: number): boolean;
}
