/** Why a request does not wait any longer. */
export interface WaitRefusal {
  /** The rule that decided it: no turn in time, a queue that is too long, or the end of the wait. */
  rule: 'tooLate' | 'queueFull' | 'waitOver';
  /** Waiting requests that would be served before it. */
  ahead: number;
  /** Time until its turn, in milliseconds; undefined when it is not known. */
  expectedMs?: number;
}
