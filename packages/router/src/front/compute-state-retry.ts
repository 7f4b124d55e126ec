/** Usual time from the start of the process until the state is in force. */
const usualStartMs = 500;
/** Share of the time since the start after which a state that is overdue is looked for again. */
const overdueShare = 0.25;
const minRetryMs = 50;
const maxRetryMs = 500;

/** Computes after what time a caller may expect the state to be in force. */
export function computeStateRetry(sinceStartMs: number): number {
  const expectedMs = Math.max(usualStartMs - sinceStartMs, sinceStartMs * overdueShare);
  return Math.round(Math.min(maxRetryMs, Math.max(minRetryMs, expectedMs)));
}
