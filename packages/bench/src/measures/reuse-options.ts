import type { BenchFleetOptions } from './bench-fleet-options.js';

/** Options of one run of the reuse and skew measurement. */
export interface ReuseOptions extends BenchFleetOptions {
  /** Virtual time that is measured after the warm-up, in milliseconds. */
  durationMs: number;
  warmUpMs: number;
  /** One engine after another loses its cache and restarts, at this interval in milliseconds. */
  churnMs: number;
}
