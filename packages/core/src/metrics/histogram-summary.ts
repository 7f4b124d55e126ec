/** Percentiles of one histogram, in milliseconds. */
export interface HistogramSummary {
  name: string;
  service: string;
  count: number;
  p50: number;
  p95: number;
  p99: number;
  max: number;
}
