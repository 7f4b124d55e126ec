import type { Clock } from '@vanillarelay/core';

/** Makes a count of events within the last `windowMs`, exact to a tenth of the window. */
export function createSlidingCount(clock: Pick<Clock, 'monotonic'>, windowMs: number) {
  const parts = 10;
  const partMs = windowMs / parts;
  const counts = new Array<number>(parts + 1).fill(0);
  let current = Math.floor(clock.monotonic() / partMs);
  const updateParts = (): void => {
    const next = Math.floor(clock.monotonic() / partMs);
    const steps = Math.min(next - current, counts.length);
    for (let step = 1; step <= steps; step += 1) counts[(current + step) % counts.length] = 0;
    current = next;
  };
  return {
    add: (amount = 1): void => {
      updateParts();
      const index = current % counts.length;
      counts[index] = (counts[index] ?? 0) + amount;
    },
    read: (): number => {
      updateParts();
      return counts.reduce((sum, count) => sum + count, 0);
    },
  };
}
