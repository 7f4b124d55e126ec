import type { Agent } from 'node:http';

/** One request as it goes to one endpoint. */
export interface EndpointCall {
  address: string;
  method: string;
  path: string;
  headers: string[];
  body: Uint8Array;
  agent: Agent;
  /** Aborted when the caller has left or the time is over. */
  signal: AbortSignal;
  /** Ends the call when no answer has begun after this; undefined waits for the signal. */
  headTimeoutMs?: number;
}
