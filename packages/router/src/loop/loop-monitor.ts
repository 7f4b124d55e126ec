import type { createLoopMonitor } from './create-loop-monitor.js';

/** The monitor of the event loop's turns. */
export type LoopMonitor = ReturnType<typeof createLoopMonitor>;
