/** The highest value that a majority of `values` reaches; minus infinity when there are none. */
export function computeMajorityValue(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => b - a);
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NEGATIVE_INFINITY;
}
