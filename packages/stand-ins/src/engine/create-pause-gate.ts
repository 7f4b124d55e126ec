import type { Clock } from '@vanillarelay/core';

/** Creates a gate that blocks all progress of an engine while it is frozen. */
export function createPauseGate(clock: Clock) {
  /** Resolvers of the blocked waits; undefined while the engine is not frozen. */
  let blocked: (() => void)[] | undefined;

  const waitUntilRunning = async (): Promise<void> => {
    while (blocked) {
      const resolvers = blocked;
      await new Promise<void>((resolve) => {
        resolvers.push(resolve);
      });
    }
  };

  return {
    freeze: (): void => {
      blocked ??= [];
    },
    resume: (): void => {
      const resolvers = blocked ?? [];
      blocked = undefined;
      resolvers.forEach((resolve) => resolve());
    },
    waitUntilRunning,
    /** Waits the given time, and longer if the engine is frozen at its end. */
    wait: async (ms: number, signal: AbortSignal): Promise<void> => {
      await clock.wait(ms, signal);
      await waitUntilRunning();
    },
  };
}
