import type { LogLine } from './log-line.js';

/** Events of a process that may explain what happened to a request shortly after them. */
const contextEvents = /^(state|config|dataCentre|process|control|raft|fleet)\./;
/** Time before the last line of a request in which other events are selected, in milliseconds. */
const contextMs = 5_000;

/**
 * Selects the lines of one request, with those that concern its endpoints or changes at its
 * processes in the seconds before its last line, sorted by time. Text before the first brace of a
 * line is ignored.
 */
export function selectLogLines(lines: readonly string[], request: string): LogLine[] {
  const parsed = lines.flatMap(parseLine);
  const requestLines = parsed.filter((line) => line.request === request);
  if (requestLines.length === 0) return [];
  const endpoints = new Set(
    requestLines.flatMap(({ sends = [] }) => sends.map((send) => send.endpoint)),
  );
  const processes = new Set(requestLines.map((line) => line.process));
  const lastTime = Math.max(...requestLines.map(({ time }) => time));
  const isContext = (line: LogLine): boolean => {
    if (line.time > lastTime || line.time < lastTime - contextMs) return false;
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
