/** Asks for the newest shared state. */
export interface StateRequest {
  /** Index of the state that the sender has. */
  knownIndex: number;
}
