import type { RolloutBounds } from './rollout-bounds.js';

/** What the plan of a roll-out follows; nearly the same at all routers. */
export interface TrafficFigures extends RolloutBounds {
  durationMs: number;
  /** Time from the order to the planned end. */
  planMs: number;
  ageMs: number;
  /** Requests of the service per millisecond, at all routers. */
  requestsPerMs: number;
  /** Answers of the new version so far, at all routers. */
  newAnswers: number;
}
