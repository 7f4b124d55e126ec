import type { FleetState } from './fleet-state.js';

/** Items in one part, so that no part is a text of unbounded length. */
const itemsInPart = 500;

/** Encodes the state in parts of JSON; the first holds all but the long tables. */
export function encodeState(state: FleetState): string[] {
  const { daemon, at, incarnations, crashReports, permits, ...tables } = state;
  const head = {
    daemon,
    at,
    incarnations: [...incarnations],
    crashReports: [...crashReports],
    permits: [...permits],
  };
  return [
    JSON.stringify(head),
    ...encodeTable('history', tables.history),
    ...encodeTable('changes', tables.changes),
    ...encodeTable('records', tables.records),
    ...encodeTable('tombstones', tables.tombstones),
  ];
}

function encodeTable(table: string, items: Iterable<unknown>): string[] {
  const parts: string[] = [];
  let part: unknown[] = [];
  for (const item of items) {
    part.push(item);
    if (part.length === itemsInPart) {
      parts.push(JSON.stringify({ table, items: part }));
      part = [];
    }
  }
  if (part.length > 0) parts.push(JSON.stringify({ table, items: part }));
  return parts;
}
