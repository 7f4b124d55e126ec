import type { Clock } from '@vanillarelay/core';

/** Creates a number whose reads return its value of `lagMs` milliseconds ago. */
export function createLaggedValue(clock: Clock, lagMs: number) {
  const changes = [{ at: Number.NEGATIVE_INFINITY, value: 0 }];

  const removeOutdated = (): void => {
    const limit = clock.monotonic() - lagMs;
    while ((changes[1]?.at ?? Number.POSITIVE_INFINITY) <= limit) changes.shift();
  };

  return {
    update: (value: number): void => {
      removeOutdated();
      changes.push({ at: clock.monotonic(), value });
    },
    read: (): number => {
      removeOutdated();
      return changes[0]?.value ?? 0;
    },
  };
}
