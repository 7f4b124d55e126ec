import type { Clock } from '@vanillarelay/core';
import type { FakeEngine } from '@vanillarelay/stand-ins';

const sampleIntervalMs = 100;

/**
 * Creates a sampler of the load skew: the highest load of the engines that are up, divided by their
 * mean load. It reads the loads from the engines, without the lag of their reports.
 */
export function createSkewSampler(
  clock: Clock,
  engines: ReadonlyMap<string, FakeEngine>,
  multiple: number,
) {
  // `worst`, `excess` and `startExcess` are maxima; the others are sums over the samples.
  const statistics = { samples: 0, mean: 0, skew: 0, worst: 0, excess: 0, startExcess: 0 };

  const recordSample = (): void => {
    const up = [...engines.values()].filter((engine) => engine.isUp());
    const loads = up.map((engine) => engine.readStats().running);
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    const highest = Math.max(...loads);
    statistics.samples += 1;
    statistics.mean += mean;
    if (mean === 0) return;
    statistics.skew += highest / mean;
    statistics.worst = Math.max(statistics.worst, highest / mean);
    statistics.excess = Math.max(
      statistics.excess,
      highest - Math.max(1, Math.ceil(multiple * mean)),
    );
  };

  /** Keeps the largest number of requests by which an engine exceeds its bound at a start. */
  const recordStart = (engine: FakeEngine): void => {
    const up = [...engines.values()].filter((each) => each.isUp());
    const total = up.reduce((sum, each) => sum + each.readStats().running, 0);
    const bound = Math.max(1, Math.ceil((multiple * (total + 1)) / Math.max(1, up.length)));
    statistics.startExcess = Math.max(
      statistics.startExcess,
      engine.readStats().running + 1 - bound,
    );
  };

  const run = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      recordSample();
      await clock.wait(sampleIntervalMs, signal);
    }
  };

  return { run, recordStart, statistics };
}
