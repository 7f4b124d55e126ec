import type { Clock, DataCentreId, EndpointId, ServiceId } from '@vanillarelay/core';
import type { EndpointChanges } from './endpoint-changes.js';
import type { EndpointTableRow } from './endpoint-table-row.js';
import type { EndpointRecord } from './endpoint-record.js';
import { isNewerRecord } from './is-newer-record.js';

interface EndpointTableOptions {
  clock: Pick<Clock, 'monotonic'>;
  /** Time without an announcement after which an endpoint is marked silent, in milliseconds. */
  silenceMs: number;
}

/**
 * How long a departed endpoint stays in the table, so that a delayed announcement does not re-add
 * it.
 */
const departedRetentionMs = 60_000;

/** Creates a daemon's table of endpoints, filled from announcements, other daemons and the disk. */
export function createEndpointTable({ clock, silenceMs }: EndpointTableOptions) {
  const rows = new Map<EndpointId, EndpointTableRow>();
  let services = new Map<ServiceId, EndpointTableRow[]>();
  let lastChange = 0;
  let lastHeardCursor = 0;
  const listeners = new Set<() => void>();

  const notify = () => {
    services = new Map();
    rows.forEach((row) => {
      if (row.record.state === 'gone') return;
      const { service } = row.record;
      const listed = services.get(service);
      if (listed) listed.push(row);
      else services.set(service, [row]);
    });
    listeners.forEach((listener) => listener());
  };

  const update = (record: EndpointRecord, known: EndpointTableRow | undefined): void => {
    const at = clock.monotonic();
    lastChange += 1;
    rows.set(record.id, {
      record,
      firstSeenAt: known?.record.bornAt === record.bornAt ? known.firstSeenAt : at,
      coldUntil: record.coldLeftMs > 0 ? at + record.coldLeftMs : 0,
      lastHeardAt: record.isSilent ? (known?.lastHeardAt ?? -Infinity) : at,
      heardCursor: known?.heardCursor ?? 0,
      change: lastChange,
      changedAt: at,
    });
  };

  /**
   * Marks other endpoints at the address of a record as gone: an address belongs to the incarnation
   * that started last. Returns false when another endpoint at this address started later.
   */
  const removeOthersAtAddress = ({ id, address, bornAt, state }: EndpointRecord): boolean => {
    if (state === 'gone') return true;
    const others = [...rows.values()].filter(
      ({ record }) => record.address === address && record.id !== id && record.state !== 'gone',
    );
    if (others.some(({ record }) => record.bornAt > bornAt)) return false;
    others.forEach((other) => update({ ...other.record, state: 'gone' }, other));
    return true;
  };

  const isRecentlyHeard = ({ lastHeardAt }: EndpointTableRow): boolean =>
    clock.monotonic() - lastHeardAt <= silenceMs / 2;

  const computeColdLeft = ({ coldUntil }: EndpointTableRow): number =>
    Math.max(0, coldUntil - clock.monotonic());

  /**
   * Sets the silence flag; returns whether it changed. The calling function notifies the listeners.
   */
  const updateSilence = (row: EndpointTableRow, isSilent: boolean): boolean => {
    const { isSilent: wasSilent, ...record } = row.record;
    if (Boolean(wasSilent) === isSilent) return false;
    const coldLeftMs = computeColdLeft(row);
    update({ ...record, coldLeftMs, ...(isSilent ? { isSilent } : {}) }, row);
    return true;
  };

  /** Applies only the silence flag of a peer's record, which may be older than the known record. */
  const mergeSilence = (known: EndpointTableRow, { bornAt, isSilent }: EndpointRecord): boolean => {
    const { record } = known;
    const isDifferent = Boolean(record.isSilent) !== Boolean(isSilent);
    if (!isDifferent || record.bornAt !== bornAt || record.state === 'gone') return false;
    if (isSilent && isRecentlyHeard(known)) return false;
    updateSilence(known, Boolean(isSilent));
    notify();
    return true;
  };

  /** Merges a record from a peer or from the disk; returns whether the table changed. */
  const merge = (received: EndpointRecord): boolean => {
    const known = rows.get(received.id);
    if (known && !isNewerRecord(received, known.record)) return mergeSilence(known, received);
    const { isSilent, ...receivedWithoutSilence } = received;
    const record: EndpointRecord =
      isSilent && known && isRecentlyHeard(known) ? receivedWithoutSilence : received;
    const at = clock.monotonic();
    const coldMs = record.coldLeftMs;
    const isColdLonger = coldMs > 0 && at + coldMs > (known?.coldUntil ?? 0) + coldToleranceMs;
    const isChange = !known || isColdLonger || !compareContent(known.record, record);
    if (!isChange) {
      known.record = record;
      return false;
    }
    if (!removeOthersAtAddress(record)) return false;
    const isSameIncarnation = known?.record.bornAt === record.bornAt;
    const remainingColdMs = isSameIncarnation ? (known?.coldUntil ?? 0) - at : 0;
    update({ ...record, coldLeftMs: Math.max(record.coldLeftMs, remainingColdMs, 0) }, known);
    notify();
    return true;
  };

  const recordHeard = (ids: readonly EndpointId[], isDirect: boolean): void => {
    let isChanged = false;
    ids.forEach((id) => {
      const row = rows.get(id);
      if (!row) return;
      row.lastHeardAt = clock.monotonic();
      if (isDirect) {
        lastHeardCursor += 1;
        row.heardCursor = lastHeardCursor;
      }
      isChanged = updateSilence(row, false) || isChanged;
    });
    if (isChanged) notify();
  };

  const remove = (id: EndpointId): boolean => {
    const known = rows.get(id);
    if (!known || known.record.state === 'gone') return false;
    update({ ...known.record, state: 'gone' }, known);
    notify();
    return true;
  };

  const removeDeparted = (): void => {
    const now = clock.monotonic();
    rows.forEach(({ record, changedAt }, id) => {
      if (record.state === 'gone' && now - changedAt > departedRetentionMs) rows.delete(id);
    });
  };

  /** Marks endpoints silent whose announcements have stopped; returns their ids. */
  const checkSilence = (): EndpointId[] => {
    const at = clock.monotonic();
    const silent = [...rows.values()].filter(
      ({ record, lastHeardAt }) =>
        record.state !== 'gone' && !record.isSilent && at - lastHeardAt > silenceMs,
    );
    silent.forEach((row) => updateSilence(row, true));
    if (silent.length > 0) notify();
    return silent.map(({ record }) => record.id);
  };

  /** Marks the endpoints of a data centre as cold, since they received no requests for a while. */
  const markCold = (dataCentre: DataCentreId, findColdMs: (service: ServiceId) => number): void => {
    const at = clock.monotonic();
    rows.forEach((row) => {
      if (row.record.dataCentre !== dataCentre) return;
      row.coldUntil = Math.max(row.coldUntil, at + findColdMs(row.record.service));
    });
  };

  return {
    merge,
    /** Merges an announcement from the endpoint itself; returns whether the table changed. */
    announce: (record: EndpointRecord): boolean => {
      const isUpdated = merge(record);
      const known = rows.get(record.id);
      const isOutdated = known && isNewerRecord(known.record, record);
      if (known && !isOutdated) recordHeard([record.id], true);
      return isUpdated;
    },
    remove,
    checkSilence,
    removeDeparted,
    markCold,
    find: (id: EndpointId): EndpointTableRow | undefined => rows.get(id),
    listService: (service: ServiceId): readonly EndpointTableRow[] => services.get(service) ?? [],
    listAll: (): EndpointTableRow[] => [...rows.values()],
    /**
     * Records that changed after the given position, oldest change first, with their remaining cold
     * time; `cursor` is the position after the last of them.
     */
    listChanges: (after: number, maxCount = Infinity): EndpointChanges => {
      const changed = [...rows.values()]
        .filter(({ change }) => change > after)
        .sort((a, b) => a.change - b.change);
      const listed = changed.slice(0, maxCount);
      return {
        records: listed.map((row) => ({ ...row.record, coldLeftMs: computeColdLeft(row) })),
        cursor: listed.length < changed.length ? (listed.at(-1)?.change ?? after) : lastChange,
      };
    },
    /**
     * Ids of endpoints whose own announcements arrived after the given cursor, at this daemon or
     * at one that reports to it. Reports from other hubs are excluded; otherwise two hubs would
     * keep confirming a crashed endpoint to each other.
     */
    listHeard: (after: number): EndpointId[] => {
      const since = clock.monotonic() - silenceMs;
      return [...rows.values()]
        .filter(({ heardCursor, lastHeardAt }) => heardCursor > after && lastHeardAt >= since)
        .map(({ record }) => record.id);
    },
    readLastHeardCursor: () => lastHeardCursor,
    /** Records announcements that were received by a daemon that reports to this one. */
    recordHeardDirectly: (ids: readonly EndpointId[]): void => recordHeard(ids, true),
    /** Records announcements that were received by another hub's daemons. */
    recordHeardByOtherHub: (ids: readonly EndpointId[]): void => recordHeard(ids, false),
    readLastChange: () => lastChange,
    observe: (listener: () => void) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}

/**
 * A cold period counts as extended only when its end moves by more than this. The ends computed
 * from two announcements of the same period differ by the network delay.
 */
const coldToleranceMs = 500;

function compareContent(a: EndpointRecord, b: EndpointRecord): boolean {
  return (
    a.bornAt === b.bornAt &&
    a.service === b.service &&
    a.address === b.address &&
    a.dataCentre === b.dataCentre &&
    a.slots === b.slots &&
    a.state === b.state &&
    Boolean(a.isSilent) === Boolean(b.isSilent)
  );
}
