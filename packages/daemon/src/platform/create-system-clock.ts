import type { Clock } from '@vanillarelay/core';

/** Makes the clock of a real process. */
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
        const timer = setTimeout(wake, ms);
        function wake() {
          clearTimeout(timer);
          signal?.removeEventListener('abort', wake);
          resolve();
        }
        signal?.addEventListener('abort', wake, { once: true });
      }),
    startTimer: (ms, callback) => {
      const timer = setTimeout(callback, ms);
      return () => clearTimeout(timer);
    },
  };
}
