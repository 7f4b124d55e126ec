import type { DaemonInfo } from './daemon-info.js';

/** Discovery message of a daemon that has no usable hub, or of a hub to its seeds. */
export interface HelloRequest {
  from: DaemonInfo;
  /**
   * Whether the sender may become a founder: it has a disk that never held a log, and the whole
   * fleet starts for the first time.
   */
  mayFound: boolean;
  /** Addresses of the control group's members that the sender knows. */
  hubs: string[];
  /**
   * How long the receiver may wait until it knows the hubs, in milliseconds; absent in messages of
   * earlier versions.
   */
  waitMs?: number;
}
