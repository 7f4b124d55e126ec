import type { WorkEstimate } from './work-estimate.js';
import type { WorkRequest } from './work-request.js';

/** The first event of an answer, against what was expected when the request was sent. */
export interface FirstEvent {
  request: WorkRequest;
  estimate: WorkEstimate;
  /** Reading that the endpoint had to do before, in milliseconds of usual speed. */
  waitMs: number;
  /** How long work was expected to take at the endpoint; 1 is usual. */
  factor: number;
  /** Time from the send to the first event. */
  seenMs: number;
}
