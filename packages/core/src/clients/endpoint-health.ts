/** The health report of an endpoint; a plain service reports only that it is alive. */
export interface EndpointHealth {
  /** Changes with each start of the endpoint. */
  instance: string;
  cold: boolean;
  /** Number of running requests; it lags behind the actual number. */
  running: number;
}
