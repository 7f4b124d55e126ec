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

/** Result of one run of the data-centre measurement. */
export interface DataCentreResult {
  departure: 'planned' | 'unplanned';
  phases: PhaseResult[];
  /** Time from the accepted order, or the failure, to the last request started there, in ms. */
  lastNewWorkMs: number;
  /** Requests that cold engines refused because they ran as many as they can while cold. */
  coldFailures: number;
}
