import type { Expectation } from './expectation.js';

/**
 * `not-run-true`: no notice had started when an answer reported it as not run. When every answer to
 * a notice reported that, it must not start later either.
 */
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
        ? [`${name} started at ${Math.round(run.at)}, but an answer reported it as not run`]
        : [];
    });
