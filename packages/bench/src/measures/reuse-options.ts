import type { BenchFleetOptions } from './bench-fleet-options.js';

/** One run of the reuse and skew measure. */
export interface ReuseOptions extends BenchFleetOptions {
  /** Virtual time measured, after the warm-up, in milliseconds. */
  durationMs: number;
  warmUpMs: number;
  /** One engine after another loses its cache and restarts, at this interval in milliseconds. */
  churnMs: number;
}
