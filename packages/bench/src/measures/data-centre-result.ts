/** Service in one phase of a data centre's departure and return. */
interface PhaseResult {
  phase: 'before' | 'away' | 'back';
  requests: number;
  refused: number;
  broken: number;
  firstByteP50: number;
  firstByteP95: number;
  firstByteP99: number;
}

/** What one run of the data-centre measure gave. */
export interface DataCentreResult {
  departure: 'planned' | 'unplanned';
  phases: PhaseResult[];
  /** Time from the accepted order to the last request that began there, in milliseconds. */
  lastNewWorkMs: number;
  /** Requests that cold engines refused for lack of room. */
  coldFailures: number;
}
