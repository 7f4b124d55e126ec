/** Bounds of a deployment on what a version that may be bad gets. */
export interface RolloutBounds {
  /** Share of a service's requests that a bad version may get. */
  exposeShare: number;
  /** Requests that it may get besides, over all routers. Not used: quotas follow the share alone. */
  exposeSlack: number;
}
