import type { DaemonId } from '@vanillarelay/core';
import type { DaemonRow } from './daemon-row.js';
import type { Rollout } from './rollout.js';

interface DaemonRecord {
  row: DaemonRow;
  /** Monotonic time of the last report that any hub received. */
  seenAt: number;
  /** The hub that received that report. */
  origin: DaemonId;
  /** Monotonic time at which this hub learned of that report. */
  learnedAt: number;
}

/** Only daemons that reported within this time count for `inForce`. */
const inForceWindowMs = 10_000;
/** A silent daemon stays visible to operators for this long. */
const retentionMs = 600_000;

/** Creates the hub's table of all daemons, filled from the reports to all hubs. */
export function createDaemonTable() {
  const records = new Map<DaemonId, DaemonRecord>();

  /** Records a report; returns false if it is not newer than the last one. */
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
      if (now - seenAt > retentionMs) records.delete(id);
    });

  const readRollout = (accepted: number, now: number): Rollout => {
    const versions = [...records.values()]
      .filter(({ seenAt }) => now - seenAt <= inForceWindowMs)
      .map(({ row }) => ({ daemon: row.daemon, stateVersion: row.stateVersion }));
    return {
      accepted,
      inForce: versions.reduce(
        (lowest, { stateVersion }) => Math.min(lowest, stateVersion),
        accepted,
      ),
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
