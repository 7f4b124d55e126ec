import type { Clock } from '@vanillarelay/core';

/** Interval of the timer whose delay is measured. */
const checkIntervalMs = 500;

/** Reports again and again how late a timer fires, as a measure of the delay in the event loop. */
export async function observeLoopDelay(
  clock: Pick<Clock, 'monotonic' | 'wait'>,
  notify: (delayMs: number) => void,
): Promise<never> {
  for (;;) {
    const dueAt = clock.monotonic() + checkIntervalMs;
    await clock.wait(checkIntervalMs);
    notify(clock.monotonic() - dueAt);
  }
}
