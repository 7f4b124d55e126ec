/** What an endpoint says of its load in an answer. */
export interface EndpointLoad {
  /** Requests that run. */
  running: number;
  /** Requests that wait. */
  waiting: number;
  slots: number;
  /** How long work takes there at this moment, in percent of the usual; not all endpoints say it. */
  workTimePercent?: number;
}
