interface LatestStartInput {
  now: number;
  /** Target time to the answer, or to its first event, in milliseconds. */
  objectiveMs: number;
  /** Monotonic time by which the request must be answered. */
  deadlineAt: number;
  urgency: number;
  /** Time until its turn, in milliseconds; undefined when it is not known. */
  expectedMs: number | undefined;
}

/**
 * Part of the target time for which a request waits. A caller that is refused then can still be
 * answered elsewhere or later, and an endpoint has the other part for the answer.
 */
const usualShare = 0.5;
/** The same for the most urgent requests, when their turn is expected within it. */
const urgentShare = 0.8;
/** Part of the target time that is kept free before the deadline, for the answer. */
const answerShare = 0.5;

/** Monotonic time after which a waiting request is refused, because an answer would come too late. */
export function computeLatestStart(input: LatestStartInput): number {
  const { now, objectiveMs, deadlineAt, urgency, expectedMs = Infinity } = input;
  const isExtended = urgency === 0 && expectedMs <= objectiveMs * urgentShare;
  const usefulUntil = now + objectiveMs * (isExtended ? urgentShare : usualShare);
  return Math.max(now, Math.min(usefulUntil, deadlineAt - objectiveMs * answerShare));
}
