import type { Mechanism } from '../fleet/mechanism.js';

/** A parsed scenario file. */
export interface Scenario {
  name: string;
  /** Number of the invariant in the design page that the scenario tests. */
  promise: number;
  /** Description of the failures that the scenario injects. */
  failures: string;
  seeds: number[];
  /** The mechanism without which the scenario must fail. */
  without: Mechanism;
  lines: string[];
}
