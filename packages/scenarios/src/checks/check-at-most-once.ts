import { countRuns } from './count-runs.js';
import type { Expectation } from './expectation.js';

/** No non-idempotent request ran twice. */
export const checkAtMostOnce: Expectation = (world) =>
  [...countRuns(world)].flatMap(([key, count]) => (count > 1 ? [`${key} ran ${count} times`] : []));
