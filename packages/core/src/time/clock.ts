/** A source of time that is passed in, so that tests can run a fleet on a virtual clock. */
export interface Clock {
  /** Wall clock, in milliseconds since the epoch. */
  now(): number;
  /** Milliseconds that never decrease, from an arbitrary origin. */
  monotonic(): number;
  /** Resolves after `ms` milliseconds, or earlier when the signal aborts. Never rejects. */
  wait(ms: number, signal?: AbortSignal): Promise<void>;
  /** Calls `callback` once after `ms` milliseconds; returns a function that cancels the timer. */
  startTimer(ms: number, callback: () => void): () => void;
}
