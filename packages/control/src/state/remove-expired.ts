import type { FleetState } from './fleet-state.js';
import { hashRecordKey } from './hash-record-key.js';
import type { Stamp } from './stamp.js';

const recordRetentionMs = 24 * 60 * 60 * 1000;
const tombstoneRetentionMs = 7 * 24 * 60 * 60 * 1000;

/** Removes what has expired by the time of an entry, so that all nodes do so at the same entry. */
export function removeExpired(state: FleetState, { index, at }: Stamp): void {
  state.at = at;
  for (const [key, record] of state.records) {
    if (record.at + recordRetentionMs > at) break;
    state.records.delete(key);
    state.tombstones.set(hashRecordKey(key), record.at + recordRetentionMs);
  }
  for (const [hash, expiredAt] of state.tombstones) {
    if (expiredAt + tombstoneRetentionMs > at) break;
    state.tombstones.delete(hash);
  }
  state.permits.forEach((endsAt, endpoint) => {
    if (endsAt <= at) state.permits.delete(endpoint);
  });
  if (state.daemon.marks.some(({ expiresAt }) => expiresAt <= at)) {
    const marks = state.daemon.marks.filter(({ expiresAt }) => expiresAt > at);
    state.daemon = { ...state.daemon, marks, version: index };
    const live = new Set(marks.map(({ fingerprint }) => fingerprint));
    state.crashReports.forEach((_, fingerprint) => {
      if (!live.has(fingerprint)) state.crashReports.delete(fingerprint);
    });
  }
}
