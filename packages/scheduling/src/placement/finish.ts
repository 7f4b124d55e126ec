import type { WorkEstimate } from '../cost/work-estimate.js';

/** When the first event of a request is expected from one endpoint. */
export interface Finish {
  estimate: WorkEstimate;
  /** Reading of earlier requests, in milliseconds of usual speed. */
  waitMs: number;
  /** How long work takes at the endpoint; 1 is usual. */
  factor: number;
  /** Time from the send to the first event. */
  ms: number;
}
