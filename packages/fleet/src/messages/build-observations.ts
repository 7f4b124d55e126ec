import type { Observations } from './observations.js';

/** Builds observations from a message; a daemon of an older version leaves out some of them. */
export function buildObservations(received: Partial<Observations> = {}): Observations {
  return { loads: {}, outcomes: {}, crashes: {}, rates: {}, notices: {}, work: {}, ...received };
}
