import type { Clock } from '@vanillarelay/core';

/** Share of the grace period after which every request that still runs is ended with an answer. */
const answerShare = 0.9;

/** Creates the plan of a process's stop, which decides what can still be completed. */
export function createStopPlan(clock: Pick<Clock, 'monotonic' | 'startTimer'>) {
  const starting = new AbortController();
  const ending = new AbortController();
  const { signal: startSignal }: { signal: AbortSignal } = starting;
  const { signal }: { signal: AbortSignal } = ending;
  let endsAt = Infinity;
  return {
    start: (graceMs: number): void => {
      const leftMs = graceMs * answerShare;
      endsAt = clock.monotonic() + leftMs;
      clock.startTimer(leftMs, () => ending.abort());
      starting.abort();
    },
    isStopping: (): boolean => endsAt < Infinity,
    /** Whether a request with this deadline is certainly ended by then. */
    canComplete: (deadlineAt: number): boolean => deadlineAt <= endsAt,
    /** Aborted when the stop begins. */
    startSignal,
    /** Aborted when the requests that still run must be ended. */
    signal,
  };
}
