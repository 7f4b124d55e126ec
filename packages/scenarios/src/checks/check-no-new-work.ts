import type { Expectation } from './expectation.js';

/** `no-new-work TARGET MS`: nothing began to run there later than that after it was closed. */
export const checkNoNewWork: Expectation = ({ runs, closedAt }, [target = '', ms]) => {
  const closed = closedAt.get(target);
  if (closed === undefined) return [`${target} was not closed`];
  const late = runs.filter(
    ({ at, endpoint, dataCentre }) =>
      (endpoint === target || dataCentre === target) && at > closed + Number(ms),
  );
  const last = late[late.length - 1];
  return last
    ? [`${late.length} requests began there, the last ${Math.round(last.at - closed)} ms after`]
    : [];
};
