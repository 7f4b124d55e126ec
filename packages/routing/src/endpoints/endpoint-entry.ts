import type { EndpointRecord } from './endpoint-record.js';

/** An endpoint in the table of one process. */
export interface EndpointEntry {
  record: EndpointRecord;
  /** Monotonic time until which it counts as cold. */
  coldUntil: number;
  /** Monotonic time at which this process first heard of this incarnation. */
  firstSeenAt: number;
  /** Monotonic time of its last announcement that this process knows of. */
  heardAt: number;
  /** Position of that announcement among those that reached this process or its daemons; 0 for none. */
  heardMark: number;
  /** Position in the order of changes of this table. */
  change: number;
  /** Monotonic time of the last change. */
  changedAt: number;
}
