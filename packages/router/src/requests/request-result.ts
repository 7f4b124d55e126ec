import type { EndpointId, Refusal } from '@vanillarelay/core';

/** How a request ended, for the log and the metrics. */
export interface RequestResult {
  outcome: 'answered' | 'refused' | 'failed' | 'callerLeft' | 'brokenOff';
  status: number;
  refusal?: Refusal;
  sends: { endpoint: EndpointId; reason: string; outcome: string; ms: number }[];
}
