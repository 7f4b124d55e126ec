/** The highest value that a majority reaches; minus infinity when there are no values. */
export function computeMajorityValue(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => b - a);
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NEGATIVE_INFINITY;
}
