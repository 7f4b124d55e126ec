import { expect, it } from 'vitest';
import { observeLoopDelay } from '../src/metrics/observe-loop-delay.js';

// Guards against a late event loop that neither a metric nor a log line shows.
it('reports how late each timer fired', async () => {
  const timesMs = [0, 500, 500, 2_300, 2_300, 2_800];
  const delays: number[] = [];
  const clock = { monotonic: () => timesMs.shift() ?? 0, wait: () => Promise.resolve() };
  await new Promise<void>((resolve) => {
    void observeLoopDelay(clock, (ms) => {
      delays.push(ms);
      if (timesMs.length === 0) {
        resolve();
        clock.wait = () => new Promise<void>(() => {});
      }
    });
  });
  expect(delays).toEqual([0, 1_300, 0]);
});
