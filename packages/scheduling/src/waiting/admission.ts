/** Whether a request may wait, with what decided it. */
export interface Admission<T> {
  /** Why it may not wait; undefined when it may. */
  refusal?: 'tooLate' | 'queueFull';
  /** A request that left the queue for it. */
  removed?: T;
  /** Waiting requests that are served before it. */
  ahead: number;
  /** Time until its turn, in milliseconds; undefined when it is not known. */
  expectedMs?: number;
}
