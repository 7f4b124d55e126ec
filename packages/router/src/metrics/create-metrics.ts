import { createHistograms } from '@vanillarelay/core';
import type { RequestResult } from '../requests/request-result.js';

type Gauges = Record<string, number>;

/** Creates the counters and latency histograms of a daemon, in the Prometheus text format. */
export function createMetrics() {
  const counts = new Map<string, number>();
  const histograms = createHistograms();
  let readGauges = (): Gauges => ({});

  const add = (name: string, labels: Record<string, string | number>, count = 1): void => {
    const text = Object.entries(labels)
      .map(([label, value]) => `${label}="${value}"`)
      .join(',');
    const key = `${name}{${text}}`;
    counts.set(key, (counts.get(key) ?? 0) + count);
  };

  return {
    recordRequest: (
      route: string,
      { outcome, status, refusal, sends, waitedMs }: RequestResult,
      ms: number,
    ) => {
      add('relay_requests_total', { outcome, status });
      if (refusal) add('relay_refusals_total', { code: refusal.code });
      if (sends.length > 1) add('relay_repeated_requests_total', { outcome });
      sends.forEach(({ reason, expectedMs, seenMs }) => {
        add('relay_sends_total', { reason });
        if (expectedMs === undefined || seenMs === undefined) return;
        const ratio = seenMs / Math.max(1, expectedMs);
        histograms.record('relay_first_event_ratio', route, ratio);
      });
      histograms.record('relay_request_ms', route, ms);
      if (waitedMs !== undefined) histograms.record('relay_wait_ms', route, waitedMs);
    },
    /** Records an operator's call by what it was answered. */
    recordOrder: (order: string, status: number, ms: number): void => {
      add('relay_orders_total', { order, status });
      histograms.record('relay_order_ms', order, ms);
    },
    /** Records how late a timer fired. */
    recordLoopDelay: (ms: number): void => histograms.record('relay_loop_delay_ms', '', ms),
    /** Records for how long this process delayed a request before it was sent. */
    recordSendDelay: (ms: number): void => histograms.record('relay_send_delay_ms', '', ms),
    /** Counts the payload bytes of calls between daemons. */
    recordBytes: (direction: 'sent' | 'received', bytes: number): void =>
      add('relay_control_bytes_total', { direction }, bytes),
    /** Sets the function that reads the gauges whenever the metrics are formatted. */
    registerGauges: (read: () => Gauges): void => {
      readGauges = read;
    },
    format: (): string => {
      const gauges = Object.entries(readGauges()).map(([name, value]) => `${name} ${value}`);
      const counters = [...counts].map(([name, count]) => `${name} ${count}`);
      const summaries = histograms.list().flatMap(({ name, service, count, p50, p95, p99 }) => {
        const formatLabels = (quantile: string) => `{route="${service}",quantile="${quantile}"}`;
        return [
          `${name}${formatLabels('0.5')} ${p50}`,
          `${name}${formatLabels('0.95')} ${p95}`,
          `${name}${formatLabels('0.99')} ${p99}`,
          `${name}_count{route="${service}"} ${count}`,
        ];
      });
      return `${[...gauges, ...counters, ...summaries].join('\n')}\n`;
    },
  };
}
