import { appendFileSync, writeFileSync } from 'node:fs';

/** Creates the log of a run: one JSON line for each event, with the time since the start. */
export function createRecord(path) {
  const startedAt = performance.now();
  writeFileSync(path, '');
  return (event, details = {}) => {
    const atMs = Math.round(performance.now() - startedAt);
    appendFileSync(path, `${JSON.stringify({ atMs, event, ...details })}\n`);
  };
}
