import { countRuns } from './count-runs.js';
import type { Expectation } from './expectation.js';

/** `at-most-once`: no request with an idempotency key ran twice. */
export const checkAtMostOnce: Expectation = (world) =>
  [...countRuns(world)].flatMap(([key, count]) => (count > 1 ? [`${key} ran ${count} times`] : []));
