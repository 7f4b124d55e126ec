import type { EndpointId } from '@vanillarelay/core';
import type { ChangeEntry } from './change-entry.js';
import type { FleetState } from './fleet-state.js';

type Pairs<T> = T extends Map<infer Key, infer Value> ? [Key, Value][] : never;

interface StateHead extends Pick<FleetState, 'daemon' | 'at'> {
  incarnations: [EndpointId, number][];
  crashReports: Pairs<FleetState['crashReports']>;
  permits: Pairs<FleetState['permits']>;
}

type Part =
  | { table: 'history'; items: ChangeEntry[] }
  | { table: 'changes'; items: Pairs<FleetState['changes']> }
  | { table: 'records'; items: Pairs<FleetState['records']> }
  | { table: 'tombstones'; items: Pairs<FleetState['tombstones']> };

/** Decodes the state from its parts. */
export function decodeState(encoded: Iterable<string>): FleetState {
  const [head = '', ...parts] = encoded;
  const { daemon, at, incarnations, crashReports, permits } = JSON.parse(head) as StateHead;
  const state: FleetState = {
    daemon,
    at,
    changes: new Map(),
    history: [],
    records: new Map(),
    tombstones: new Map(),
    incarnations: new Map(incarnations),
    crashReports: new Map(crashReports),
    permits: new Map(permits),
  };
  parts.forEach((text) => addPart(state, JSON.parse(text) as Part));
  return state;
}

function addPart(state: FleetState, part: Part): void {
  switch (part.table) {
    case 'history':
      part.items.forEach((entry) => state.history.push(entry));
      break;
    case 'changes':
      part.items.forEach(([key, value]) => state.changes.set(key, value));
      break;
    case 'records':
      part.items.forEach(([key, value]) => state.records.set(key, value));
      break;
    default:
      part.items.forEach(([key, value]) => state.tombstones.set(key, value));
  }
}
