import type { EndpointId, Refusal } from '@vanillarelay/core';

interface Send {
  endpoint: EndpointId;
  /** Why this endpoint was chosen. */
  reason: string;
  /** Endpoints that were left out or doubted, by reason. */
  passedOver: object;
  outcome: string;
  ms: number;
}

/** How a request ended, for the log and the metrics. */
export interface RequestResult {
  outcome: 'answered' | 'refused' | 'failed' | 'callerLeft' | 'brokenOff';
  status: number;
  refusal?: Refusal;
  sends: Send[];
  /** Time for which it waited for room at an endpoint; absent when there was room at once. */
  waitedMs?: number;
}
