import type { Policy } from '../policies/policy.js';

/** One run of the reuse and skew measure. */
export interface ReuseOptions {
  policy: Policy;
  engines: number;
  /** Bound on an engine's load as a multiple of the mean. */
  multiple: number;
  seed: number;
  /** Virtual time measured, after the warm-up, in milliseconds. */
  durationMs: number;
  warmUpMs: number;
  /** One engine after another loses its cache and restarts, at this interval in milliseconds. */
  churnMs: number;
  entries: number;
}
