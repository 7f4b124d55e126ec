import type { createInFlight } from './create-in-flight.js';

/** The requests in progress. */
export type InFlight = ReturnType<typeof createInFlight>;
