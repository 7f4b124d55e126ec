import type { createHealthTracker } from './create-health-tracker.js';

/** How requests fared at each endpoint. */
export type HealthTracker = ReturnType<typeof createHealthTracker>;
