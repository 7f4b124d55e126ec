import type { Mechanism } from '../fleet/mechanism.js';

/** A scripted scenario. */
export interface Scenario {
  name: string;
  /** Number of the invariant in the design page that it shows. */
  promise: number;
  /** The failures that it brings about, in words. */
  failures: string;
  seeds: number[];
  /** The mechanism without which the scenario must fail. */
  without: Mechanism;
  lines: string[];
}
