import { countRuns } from './count-runs.js';
import type { Expectation } from './expectation.js';

/** A request all of whose sends were refused as not run has not run. */
export const checkNotRun: Expectation = (world) =>
  [...countRuns(world)].flatMap(([key]) => {
    const calls = world.calls.filter(({ name, type }) => type === 'notice' && name === key);
    return calls.length > 0 && calls.every(({ notRun }) => notRun === true)
      ? [`${key} ran, but every answer said that it had not`]
      : [];
  });
