import type { DaemonId } from '@vanillarelay/core';
import type { DaemonRow } from './daemon-row.js';
import type { Rollout } from './rollout.js';

interface DaemonRecord {
  row: DaemonRow;
  /** Monotonic time of the last report that any hub received. */
  seenAt: number;
  /** The hub that received it. */
  origin: DaemonId;
  /** Monotonic time at which this hub learned of it. */
  learnedAt: number;
}

/** A daemon that reported within this time counts for "in force". */
const inForceWindowMs = 10_000;
/** Operators see a daemon that went silent for this long. */
const keepMs = 600_000;

/** Makes the hub's table of all daemons, from reports to all hubs. */
export function createDaemonTable() {
  const records = new Map<DaemonId, DaemonRecord>();

  /** Returns false for a report that is older than the last one. */
  const receive = (
    row: DaemonRow,
    seenAt: number,
    origin: DaemonId,
    learnedAt: number = seenAt,
  ): boolean => {
    const last = records.get(row.daemon)?.row;
    if (last && !isNewer(row, last)) return false;
    records.set(row.daemon, { row, seenAt, origin, learnedAt });
    return true;
  };

  const removeSilent = (now: number): void =>
    records.forEach(({ seenAt }, id) => {
      if (now - seenAt > keepMs) records.delete(id);
    });

  const readRollout = (accepted: number, now: number): Rollout => {
    const versions = [...records.values()]
      .filter(({ seenAt }) => now - seenAt <= inForceWindowMs)
      .map(({ row }) => ({ daemon: row.daemon, stateVersion: row.stateVersion }));
    return {
      accepted,
      inForce: versions.reduce((low, { stateVersion }) => Math.min(low, stateVersion), accepted),
      behind: versions.filter(({ stateVersion }) => stateVersion < accepted),
    };
  };

  return {
    receive,
    removeSilent,
    readRollout,
    findOrigin: (daemon: DaemonId): DaemonId | undefined => records.get(daemon)?.origin,
    listRecords: () => records.values(),
    /** All daemons for operators, by id. */
    list: (now: number) =>
      [...records.values()]
        .map(({ row, seenAt, origin }) => ({ ...row, hub: origin, silentMs: now - seenAt }))
        .sort((a, b) => (a.daemon < b.daemon ? -1 : 1)),
  };
}

function isNewer(next: DaemonRow, last: DaemonRow): boolean {
  if (next.incarnation !== last.incarnation) return next.incarnation > last.incarnation;
  return next.at > last.at;
}
