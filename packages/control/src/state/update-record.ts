import type { FleetState } from './fleet-state.js';
import type { RequestRecord } from './request-record.js';

/** Stores a record; if its time changed, it moves to the end, so that the oldest comes first. */
export function updateRecord({ records }: FleetState, key: string, record: RequestRecord): void {
  if (records.get(key)?.at !== record.at) records.delete(key);
  records.set(key, record);
}
