import type { Expectation } from './expectation.js';

/**
 * `no-new-work TARGET MS`: no request starts at TARGET, an endpoint or a data centre, more than MS
 * milliseconds after it was drained, stopped or taken out.
 */
export const checkNoNewWork: Expectation = ({ runs, closedAt }, [target = '', ms]) => {
  const closed = closedAt.get(target);
  if (closed === undefined) return [`${target} was never drained, stopped or taken out`];
  const late = runs.filter(
    ({ at, endpoint, dataCentre }) =>
      (endpoint === target || dataCentre === target) && at > closed + Number(ms),
  );
  const last = late[late.length - 1];
  return last
    ? [`${late.length} requests started late, the last after ${Math.round(last.at - closed)} ms`]
    : [];
};
