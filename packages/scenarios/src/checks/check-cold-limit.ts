import type { Expectation } from './expectation.js';

/** `cold-limit`: no engine received more concurrent requests while cold than its limit. */
export const checkColdLimit: Expectation = ({ engines }) =>
  [...engines].flatMap(([id, engine]) => {
    const { coldFailures } = engine.readStats();
    return coldFailures > 0 ? [`${id} refused ${coldFailures} requests while cold`] : [];
  });
