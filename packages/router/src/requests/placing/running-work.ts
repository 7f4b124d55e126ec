/** A request that was sent to an endpoint, as placement by expected cost follows it. */
export interface RunningWork {
  /** Records the first event of the answer, or the head of an answer that is no stream. */
  recordFirstEvent: () => void;
  /** Records the end of the attempt; `outputTokens` is undefined unless the answer is complete. */
  recordEnd: (isNotRun: boolean, outputTokens: number | undefined) => void;
  /** Expected and seen time to the first event, in milliseconds, for the log. */
  readTimes: () => { expectedMs: number; seenMs?: number };
}
