import type { VirtualProcess } from './virtual-process.js';

/** A process and the handlers that answer calls to it. */
export interface RunningProcess<T extends object> {
  process: VirtualProcess;
  handlers: T;
}
