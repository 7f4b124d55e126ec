import type { Clock } from '@vanillarelay/core';
import type { FakeEngine } from '@vanillarelay/stand-ins';

const sampleMs = 100;

/** Creates a sampler of the actual loads of the engines that are up. */
export function createSkewSampler(
  clock: Clock,
  engines: ReadonlyMap<string, FakeEngine>,
  multiple: number,
) {
  const sums = { samples: 0, mean: 0, skew: 0, worst: 0, excess: 0, startExcess: 0 };

  const recordSample = (): void => {
    const up = [...engines.values()].filter((engine) => engine.isUp());
    const loads = up.map((engine) => engine.readStats().running);
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    const highest = Math.max(...loads);
    sums.samples += 1;
    sums.mean += mean;
    if (mean === 0) return;
    sums.skew += highest / mean;
    sums.worst = Math.max(sums.worst, highest / mean);
    sums.excess = Math.max(sums.excess, highest - Math.max(1, Math.ceil(multiple * mean)));
  };

  /** Records by how much a request that starts now exceeds the load bound of its engine. */
  const recordStart = (engine: FakeEngine): void => {
    const up = [...engines.values()].filter((each) => each.isUp());
    const total = up.reduce((sum, each) => sum + each.readStats().running, 0);
    const bound = Math.max(1, Math.ceil((multiple * (total + 1)) / Math.max(1, up.length)));
    sums.startExcess = Math.max(sums.startExcess, engine.readStats().running + 1 - bound);
  };

  const run = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      recordSample();
      await clock.wait(sampleMs, signal);
    }
  };

  return { run, recordStart, sums };
}
