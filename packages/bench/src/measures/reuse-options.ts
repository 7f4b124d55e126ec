import type { BenchFleetOptions } from './bench-fleet-options.js';

/** Options of one run of the reuse and skew measurement. */
export interface ReuseOptions extends BenchFleetOptions {
  /** Virtual time that is measured after the warm-up, in milliseconds. */
  durationMs: number;
  /** Virtual time of traffic before the measurement, in milliseconds. */
  warmUpMs: number;
  /** Interval at which one engine after another crashes and loses its cache, in milliseconds. */
  churnMs: number;
}
