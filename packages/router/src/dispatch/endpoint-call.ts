import type { Agent } from 'node:http';

/** One request to one endpoint. */
export interface EndpointCall {
  address: string;
  method: string;
  path: string;
  headers: string[];
  body: Uint8Array;
  agent: Agent;
  /** Aborted when the caller has disconnected or the deadline has passed. */
  signal: AbortSignal;
  /**
   * Starts the time limit for the head of the answer, which calls `abandon` when it is over; returns
   * a function that cancels it. Undefined for no limit.
   */
  startHeadTimer?: (abandon: () => void) => () => void;
  /** Resolves when the request may be sent over a new connection, unless `signal` is aborted. */
  waitForTurn: () => Promise<void>;
}
