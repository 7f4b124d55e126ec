import { computeAgedUrgency } from './compute-aged-urgency.js';
import type { WaitingRequest } from './waiting-request.js';

/**
 * Counts the waiting requests that are served before a newcomer: the more urgent ones, those of its
 * account, and as many of each other account of its urgency.
 */
export function countAhead(
  requests: readonly WaitingRequest[],
  newcomer: WaitingRequest,
  now: number,
): number {
  const rank = computeAgedUrgency(newcomer, now);
  let moreUrgent = 0;
  const equal = new Map<string, number>();
  requests.forEach((request) => {
    const other = computeAgedUrgency(request, now);
    if (other < rank) moreUrgent += 1;
    if (other === rank) equal.set(request.account, (equal.get(request.account) ?? 0) + 1);
  });
  const own = equal.get(newcomer.account) ?? 0;
  equal.delete(newcomer.account);
  const others = [...equal.values()].reduce((sum, count) => sum + Math.min(count, own + 1), 0);
  return moreUrgent + own + others;
}
