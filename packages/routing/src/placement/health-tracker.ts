import type { createHealthTracker } from './create-health-tracker.js';

/** Outcomes of requests at each endpoint. */
export type HealthTracker = ReturnType<typeof createHealthTracker>;
