/** Computes how many requests an endpoint may run at once, given the mean load of its service. */
export function computeLoadBound(multiple: number, mean: number): number {
  return Math.max(1, Math.ceil(multiple * mean));
}
