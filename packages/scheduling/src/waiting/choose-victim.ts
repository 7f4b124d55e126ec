import type { WaitingRequest } from './waiting-request.js';

/**
 * Chooses the request that leaves a queue which is too long: one of the least urgent, of these one
 * of the account with the most waiting work, of these the last to arrive.
 */
export function chooseVictim<T extends WaitingRequest>(requests: readonly T[]): T | undefined {
  const leastUrgent = Math.max(...requests.map(({ urgency }) => urgency));
  const ofRank = requests.filter(({ urgency }) => urgency === leastUrgent);
  const works = new Map<string, number>();
  ofRank.forEach(({ account, work }) => works.set(account, (works.get(account) ?? 0) + work));
  const mostWork = Math.max(...works.values());
  return ofRank
    .filter(({ account }) => works.get(account) === mostWork)
    .reduce<T | undefined>((last, next) => (!last || isLater(next, last) ? next : last), undefined);
}

/** A request that returned keeps its place, so one that is new counts as later. */
function isLater(a: WaitingRequest, b: WaitingRequest): boolean {
  if (a.isReturning !== b.isReturning) return b.isReturning;
  return a.arrivedAt >= b.arrivedAt;
}
