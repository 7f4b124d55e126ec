import type { Expectation } from './expectation.js';

/** `uncut`: no connection broke before the answer was complete. */
export const checkUncut: Expectation = ({ calls }) =>
  calls
    .filter(({ isBroken }) => isBroken)
    .map(({ name, via }) => `the answer to ${name} via ${via} was cut off`);
