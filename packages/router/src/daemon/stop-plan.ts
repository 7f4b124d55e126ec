import type { createStopPlan } from './create-stop-plan.js';

/** The plan of a process's stop. */
export type StopPlan = ReturnType<typeof createStopPlan>;
