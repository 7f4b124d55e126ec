import { build, type Histogram } from 'hdr-histogram-js';
import type { HistogramSummary } from './histogram-summary.js';

const microsecondsPerMillisecond = 1_000;
const maxMicroseconds = 3_600_000_000;

/** Creates a process's latency histograms, one for each name and service, in milliseconds. */
export function createHistograms() {
  const histograms = new Map<string, Histogram>();

  const record = (name: string, service: string, ms: number): void => {
    const key = `${name}\n${service}`;
    let histogram = histograms.get(key);
    if (!histogram) {
      histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: maxMicroseconds,
        numberOfSignificantValueDigits: 2,
      });
      histograms.set(key, histogram);
    }
    const value = Math.round(ms * microsecondsPerMillisecond);
    histogram.recordValue(Math.min(maxMicroseconds, Math.max(1, value)));
  };

  const list = (): HistogramSummary[] =>
    [...histograms].map(([key, histogram]) => {
      const [name = '', service = ''] = key.split('\n');
      const readAt = (percentile: number) =>
        histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
      return {
        name,
        service,
        count: histogram.totalCount,
        p50: readAt(50),
        p95: readAt(95),
        p99: readAt(99),
        max: histogram.maxValue / microsecondsPerMillisecond,
      };
    });

  return { record, list };
}
