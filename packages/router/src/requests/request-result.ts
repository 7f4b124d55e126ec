import type { EndpointId, Refusal } from '@vanillarelay/core';

interface Send {
  endpoint: EndpointId;
  /** Why this endpoint was chosen. */
  reason: string;
  /** Number of endpoints that were excluded or have a health issue, by reason. */
  passedOver: object;
  outcome: string;
  /** Age of the request when it was sent, in milliseconds. */
  afterMs: number;
  /** Duration of the attempt, in milliseconds. */
  ms: number;
  /** Expected time to the first event, where requests are placed by their expected cost. */
  expectedMs?: number;
  /** Time to the first event, where one arrived and a time was expected. */
  seenMs?: number;
}

interface Wait {
  urgency: number;
  /** Waiting requests that were ahead of it when it asked to enter the queue. */
  ahead: number;
  /** Expected time until its turn, in milliseconds; absent when it was not known. */
  expectedMs?: number;
}

/** How a request ended, for the log and the metrics. */
export interface RequestResult {
  outcome: 'answered' | 'refused' | 'failed' | 'callerLeft' | 'brokenOff';
  status: number;
  refusal?: Refusal;
  sends: Send[];
  /** Time spent waiting for capacity at an endpoint; absent when there was no wait. */
  waitedMs?: number;
  /** Waits in the queue of the service, each with what was known at its start. */
  waits?: Wait[];
}
