/** A request that waits for a place at an endpoint of its service. */
export interface WaitingRequest {
  /** The client account; empty for requests without one. */
  account: string;
  /** Priority of the request; 0 is the most urgent. */
  urgency: number;
  /** Work of the request, in units of a small request. */
  work: number;
  /** Monotonic time at which it came in. */
  arrivedAt: number;
  /** Monotonic time after which it is refused instead of sent. */
  latestStartAt: number;
  /** Whether it was refused or sent before, so that it goes before newcomers of its urgency. */
  isReturning: boolean;
}
