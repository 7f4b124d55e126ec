import type { VirtualProcess } from './virtual-process.js';

/** A process with what it answers. */
export interface RunningProcess<T extends object> {
  process: VirtualProcess;
  handlers: T;
}
