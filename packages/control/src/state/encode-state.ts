import type { FleetState } from './fleet-state.js';

/** Maximum number of items in a part, which limits its length. */
const itemsPerPart = 500;

/**
 * Encodes the state as JSON parts; the first holds all but the long tables. The tables are copied
 * at the call and their items are never changed in place, so the state may change meanwhile.
 */
export function encodeState(state: FleetState): Iterable<string> {
  const { daemon, at, incarnations, crashReports, permits, ...tables } = state;
  const head = {
    daemon,
    at,
    incarnations: [...incarnations],
    crashReports: [...crashReports],
    permits: [...permits],
  };
  const copies = {
    history: [...tables.history],
    changes: new Map(tables.changes),
    records: new Map(tables.records),
    tombstones: new Map(tables.tombstones),
  };
  return encodeParts(JSON.stringify(head), copies);
}

function* encodeParts(head: string, tables: Record<string, Iterable<unknown>>): Generator<string> {
  yield head;
  for (const [table, items] of Object.entries(tables)) yield* encodeTable(table, items);
}

function* encodeTable(table: string, items: Iterable<unknown>): Generator<string> {
  let part: unknown[] = [];
  for (const item of items) {
    part.push(item);
    if (part.length === itemsPerPart) {
      yield JSON.stringify({ table, items: part });
      part = [];
    }
  }
  if (part.length > 0) yield JSON.stringify({ table, items: part });
}
