import type { EndpointRecord } from './endpoint-record.js';

/** An endpoint in the table of one process. */
export interface EndpointTableRow {
  record: EndpointRecord;
  /** Monotonic time until which it is cold. */
  coldUntil: number;
  /** Monotonic time at which this process first received a record of this incarnation. */
  firstSeenAt: number;
  /** Monotonic time of its last known announcement. */
  lastHeardAt: number;
  /**
   * Position of its last announcement in the order in which announcements reached this process or
   * the daemons that report to it; 0 when there was none.
   */
  heardCursor: number;
  /** Position of its last change in the order of changes of this table. */
  change: number;
  /** Monotonic time of the last change. */
  changedAt: number;
}
