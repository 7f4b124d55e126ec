/** Requests that an endpoint may run at once when its service's mean is `mean`. */
export function computeLoadBound(multiple: number, mean: number): number {
  return Math.max(1, Math.ceil(multiple * mean));
}
