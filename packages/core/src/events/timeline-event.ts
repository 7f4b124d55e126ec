import type { DaemonId } from '../ids/daemon-id.js';
import type { DataCentreId } from '../ids/data-centre-id.js';
import type { RequestId } from '../ids/request-id.js';
import type { VmId } from '../ids/vm-id.js';
import type { HlcTime } from '../time/hlc-time.js';

/** One event of a timeline. */
export interface TimelineEvent {
  at: HlcTime;
  process: DaemonId;
  vm: VmId;
  dataCentre: DataCentreId;
  /** What happened, as words separated by dots: `request.dispatched`, `contact.changed`. */
  name: string;
  requestId?: RequestId;
  /** Values that explain the event; never keys or bodies. */
  details?: Record<string, string | number | boolean>;
}
