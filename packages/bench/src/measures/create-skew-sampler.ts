import type { Clock } from '@vanillarelay/core';
import type { FakeEngine } from '@vanillarelay/stand-ins';

const sampleMs = 100;

/** Makes a sampler of the engines' true loads. */
export function createSkewSampler(
  clock: Clock,
  engines: ReadonlyMap<string, FakeEngine>,
  multiple: number,
) {
  const sums = { samples: 0, mean: 0, skew: 0, worst: 0, excess: 0 };

  const recordSample = (): void => {
    const loads = [...engines.values()].map((engine) => engine.readStats().running);
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    const highest = Math.max(...loads);
    sums.samples += 1;
    sums.mean += mean;
    if (mean === 0) return;
    sums.skew += highest / mean;
    sums.worst = Math.max(sums.worst, highest / mean);
    sums.excess = Math.max(sums.excess, highest - Math.max(1, Math.ceil(multiple * mean)));
  };

  const run = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      recordSample();
      await clock.wait(sampleMs, signal);
    }
  };

  return { run, sums };
}
