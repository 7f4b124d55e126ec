/** Request counts and latencies in one phase: before a data centre leaves, away or back. */
interface PhaseResult {
  phase: 'before' | 'away' | 'back';
  /** Requests with a complete answer, refusals included. */
  requests: number;
  refused: number;
  /** Requests that failed before their answer was complete. */
  broken: number;
  /** Time to the first byte, in milliseconds. */
  firstByteP50: number;
  firstByteP95: number;
  firstByteP99: number;
}

/** Result of one run of the data-centre measurement. */
export interface DataCentreResult {
  departure: 'planned' | 'unplanned';
  phases: PhaseResult[];
  /**
   * Time from the accepted change, or the failure, to the last request that the data centre's
   * engines started, in milliseconds; checked every 20 ms.
   */
  lastNewWorkMs: number;
  /** Requests that engines refused because they were cold and at their limit. */
  coldFailures: number;
}
