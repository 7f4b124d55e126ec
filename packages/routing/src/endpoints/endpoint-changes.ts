import type { EndpointRecord } from './endpoint-record.js';

/** Changed endpoint records, up to a position in the sequence of changes. */
export interface EndpointChanges {
  records: EndpointRecord[];
  cursor: number;
}
