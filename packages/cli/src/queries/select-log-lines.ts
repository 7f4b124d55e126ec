import type { LogLine } from './log-line.js';

/** Events of the system that explain a request when they come shortly before it. */
const contextEvents = /^(state|config|dataCentre|process|control|raft|fleet)\./;
const contextMs = 5_000;

/**
 * Selects the lines of one request, with those of its endpoints and of changes in the system in the
 * seconds before, in the order of time. Text before the first brace of a line is passed over.
 */
export function selectLogLines(lines: readonly string[], request: string): LogLine[] {
  const parsed = lines.flatMap(parseLine);
  const own = parsed.filter((line) => line.request === request);
  if (own.length === 0) return [];
  const endpoints = new Set(own.flatMap(({ sends = [] }) => sends.map((send) => send.endpoint)));
  const processes = new Set(own.map((line) => line.process));
  const to = Math.max(...own.map(({ time }) => time));
  const isContext = (line: LogLine): boolean => {
    if (line.time > to || line.time < to - contextMs) return false;
    if (line.endpoint !== undefined) return endpoints.has(line.endpoint);
    return processes.has(line.process) && contextEvents.test(line.event);
  };
  return parsed
    .filter((line) => line.request === request || isContext(line))
    .sort((a, b) => a.time - b.time);
}

function parseLine(text: string): LogLine[] {
  const start = text.indexOf('{');
  if (start < 0) return [];
  try {
    const line = JSON.parse(text.slice(start)) as Partial<LogLine>;
    return typeof line.event === 'string' && typeof line.time === 'number' ? [line as LogLine] : [];
  } catch {
    // Other programs may write to the same output.
    return [];
  }
}
