import type { DaemonInfo } from './daemon-info.js';

/** First message of a daemon that knows no hub. */
export interface HelloRequest {
  from: DaemonInfo;
  /** Whether it has a disk that never held a log, at the first start of the whole fleet. */
  mayFound: boolean;
}
