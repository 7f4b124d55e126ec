import type { createHealthTracker } from './create-health-tracker.js';

/** The record of request outcomes at each endpoint. */
export type HealthTracker = ReturnType<typeof createHealthTracker>;
