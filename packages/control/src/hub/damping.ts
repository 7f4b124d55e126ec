/** Penalty of a flapping endpoint, as in route flap damping (RFC 2439). */
export interface Damping {
  /** Adds the penalty of one flap, at the monotonic time `now`. */
  add(now: number): void;
  /** Whether the endpoint counts as flapping at the monotonic time `now`. */
  isDamped(now: number): boolean;
}
