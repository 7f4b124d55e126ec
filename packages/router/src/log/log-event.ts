import type { logEvents } from './log-events.js';

/** Name of an event in the log. */
export type LogEvent = keyof typeof logEvents;
