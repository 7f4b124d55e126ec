import type { Clock } from '@vanillarelay/core';

/**
 * Creates a counter of the events within the last `windowMs`, with a resolution of a tenth of that
 * time.
 */
export function createSlidingCount(clock: Pick<Clock, 'monotonic'>, windowMs: number) {
  const bucketCount = 10;
  const bucketMs = windowMs / bucketCount;
  const counts = new Array<number>(bucketCount + 1).fill(0);
  let current = Math.floor(clock.monotonic() / bucketMs);
  const updateBuckets = (): void => {
    const next = Math.floor(clock.monotonic() / bucketMs);
    const steps = Math.min(next - current, counts.length);
    for (let step = 1; step <= steps; step += 1) counts[(current + step) % counts.length] = 0;
    current = next;
  };
  return {
    add: (amount = 1): void => {
      updateBuckets();
      const index = current % counts.length;
      counts[index] = (counts[index] ?? 0) + amount;
    },
    read: (): number => {
      updateBuckets();
      return counts.reduce((sum, count) => sum + count, 0);
    },
  };
}
