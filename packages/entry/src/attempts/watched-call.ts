import type { InFlightCall } from './in-flight-call.js';

/** A call to an agent with the signal that aborts it. */
export interface WatchedCall {
  signal: AbortSignal;
  call: InFlightCall;
}
