import type { Clock } from '@vanillarelay/core';

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
        const timer = setTimeout(settle, ms);
        function settle() {
          clearTimeout(timer);
          signal?.removeEventListener('abort', settle);
          resolve();
        }
        signal?.addEventListener('abort', settle, { once: true });
      }),
    startTimer: (ms, callback) => {
      const timer = setTimeout(callback, ms);
      return () => clearTimeout(timer);
    },
  };
}
