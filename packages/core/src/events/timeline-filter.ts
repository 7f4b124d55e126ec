import type { RequestId } from '../ids/request-id.js';

/** Selects events of a time line. */
export interface TimelineFilter {
  requestId?: RequestId;
  limit?: number;
}
