import type { WaitingRequest } from './waiting-request.js';

/** Time after which a waiting request counts as one step more urgent. */
const stepMs = 1_000;
/** Most urgent rank that ageing reaches: a burst of less urgent requests must not delay rank 0. */
const lowestAged = 1;

/** Urgency of a waiting request, which rises with its waiting time so that none waits for ever. */
export function computeAgedUrgency(
  { urgency, arrivedAt }: Pick<WaitingRequest, 'urgency' | 'arrivedAt'>,
  now: number,
): number {
  const steps = Math.max(0, Math.floor((now - arrivedAt) / stepMs));
  return Math.max(Math.min(urgency, lowestAged), urgency - steps);
}
