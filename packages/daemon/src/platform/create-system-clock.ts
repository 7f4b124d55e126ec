import type { Clock } from '@vanillarelay/core';

/** Longest time of a timer of Node; a longer one would fire at once. */
const maxTimerMs = 2 ** 31 - 1;

/** Creates a clock over the system's time and timers. */
export function createSystemClock(): Clock {
  return {
    now: () => Date.now(),
    monotonic: () => performance.now(),
    wait: (ms, signal) =>
      new Promise((resolve) => {
        if (signal?.aborted) {
          resolve();
          return;
        }
        const timer = setTimeout(settle, Math.min(ms, maxTimerMs));
        function settle() {
          clearTimeout(timer);
          signal?.removeEventListener('abort', settle);
          resolve();
        }
        signal?.addEventListener('abort', settle, { once: true });
      }),
    startTimer: (ms, callback) => {
      const timer = setTimeout(callback, Math.min(ms, maxTimerMs));
      return () => clearTimeout(timer);
    },
  };
}
