import type { RequestId } from '../ids/request-id.js';

/** Selects events of a timeline. */
export interface TimelineFilter {
  requestId?: RequestId;
  limit?: number;
}
