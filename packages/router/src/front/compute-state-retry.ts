/** Usual time from the start until the first configuration is in force. */
const usualStartMs = 500;
/** Retry time for an overdue configuration, as a share of the time since the start. */
const overdueShare = 0.25;
const minRetryMs = 50;
const maxRetryMs = 500;

/** Computes the retry time of a caller that came before the first configuration. */
export function computeStateRetry(sinceStartMs: number): number {
  const expectedMs = Math.max(usualStartMs - sinceStartMs, sinceStartMs * overdueShare);
  return Math.round(Math.min(maxRetryMs, Math.max(minRetryMs, expectedMs)));
}
