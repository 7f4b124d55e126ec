import type { Expectation } from './expectation.js';

/** No answer that had begun was cut. */
export const checkUncut: Expectation = ({ calls }) =>
  calls.filter(({ isBroken }) => isBroken).map(({ name, via }) => `${name} via ${via} was cut`);
