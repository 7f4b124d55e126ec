import type { Clock } from '@vanillarelay/core';

/** Makes a switch that holds all progress of an engine back while it is frozen. */
export function createFreezer(clock: Clock) {
  let held: (() => void)[] | undefined;

  const waitUntilRunning = async (): Promise<void> => {
    while (held) {
      const wakes = held;
      await new Promise<void>((resolve) => {
        wakes.push(resolve);
      });
    }
  };

  return {
    freeze: (): void => {
      held ??= [];
    },
    resume: (): void => {
      const wakes = held ?? [];
      held = undefined;
      wakes.forEach((wake) => wake());
    },
    waitUntilRunning,
    /** Waits and then, while frozen, longer. */
    wait: async (ms: number, signal: AbortSignal): Promise<void> => {
      await clock.wait(ms, signal);
      await waitUntilRunning();
    },
  };
}
