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
  /** Time to the head of the answer after which the call fails; undefined for no limit. */
  headTimeoutMs?: number;
  /** Resolves when the request may be sent over a new connection, unless `signal` is aborted. */
  waitForTurn: () => Promise<void>;
}
