import type { Expectation } from './expectation.js';

/** No cold engine got more than it bears. */
export const checkColdLimit: Expectation = ({ engines }) =>
  [...engines].flatMap(([id, engine]) => {
    const { coldFailures } = engine.readStats();
    return coldFailures > 0 ? [`${id} refused ${coldFailures} requests while cold`] : [];
  });
