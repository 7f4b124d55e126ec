/** Time as an argument, so that a whole fleet can run on a virtual clock. */
export interface Clock {
  /** Wall clock, in milliseconds since the epoch. */
  now(): number;
  /** Milliseconds that never go back; the origin is arbitrary. */
  monotonic(): number;
  /** Resolves after `ms` milliseconds, or earlier when the signal aborts. Never rejects. */
  wait(ms: number, signal?: AbortSignal): Promise<void>;
  /** Calls back once after `ms` milliseconds; returns a function that cancels. */
  startTimer(ms: number, callback: () => void): () => void;
}
