import type { Expectation } from './expectation.js';

/** No request had begun to run by the time at which an answer said that it had not. */
export const checkNotRun: Expectation = ({ calls, runs }) =>
  calls
    .filter(({ type, notRun }) => type === 'notice' && notRun === true)
    .flatMap(({ name, endedAt = 0 }) => {
      const sends = calls.filter((call) => call.name === name);
      const isRefusedThroughout = sends.every(({ notRun }) => notRun === true);
      const run = runs.find(
        ({ key, at }) => key === name && (at <= endedAt || isRefusedThroughout),
      );
      return run
        ? [`${name} began to run at ${Math.round(run.at)}, but an answer said that it had not`]
        : [];
    });
