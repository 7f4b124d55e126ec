import type { Clock } from '@vanillarelay/core';

/** Runs a task again and again, with a pause between. */
export async function runEvery(
  clock: Pick<Clock, 'wait'>,
  pauseMs: number,
  task: () => void,
): Promise<never> {
  for (;;) {
    await clock.wait(pauseMs);
    task();
  }
}
