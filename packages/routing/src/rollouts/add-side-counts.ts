import type { SideCounts } from './side-counts.js';

const none: SideCounts = [0, 0, 0, 0];

/** Adds the counts of two sides. */
export function addSideCounts(a: SideCounts = none, b: SideCounts = none): SideCounts {
  return [a[0] + b[0], a[1] + b[1], a[2] + b[2], a[3] + b[3]];
}
