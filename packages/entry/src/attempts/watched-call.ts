import type { Flight } from './flight.js';

/** A call to an agent with the signal that gives it up. */
export interface WatchedCall {
  signal: AbortSignal;
  flight: Flight;
}
