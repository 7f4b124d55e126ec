import type { LogLine } from './log-line.js';

const excludedFields = new Set(['time', 'process', 'event', 'level']);

/** Formats a log line: time, process, event and its other fields. */
export function formatLogLine(line: LogLine): string {
  const fields = Object.entries(line)
    .filter(([name]) => !excludedFields.has(name))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return [new Date(line.time).toISOString(), line.process, line.event, ...fields].join('  ');
}
