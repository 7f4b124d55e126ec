import type { Urgency } from './urgency.js';

/** Compares two requests for sorting: those that only need to be ended come first. */
export function compareUrgency(a: Urgency, b: Urgency): number {
  return (
    Number(b.signal.aborted) - Number(a.signal.aborted) ||
    a.priority - b.priority ||
    a.deadlineAt - b.deadlineAt
  );
}
