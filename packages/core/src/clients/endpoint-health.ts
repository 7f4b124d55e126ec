/** What an endpoint tells of itself; a plain service tells only that it lives. */
export interface EndpointHealth {
  /** Changes with each start of the endpoint. */
  instance: string;
  cold: boolean;
  /** Running requests, reported with a lag. */
  running: number;
}
