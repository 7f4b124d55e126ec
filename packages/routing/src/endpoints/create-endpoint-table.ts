import type { Clock, DataCentreId, EndpointId, ServiceId } from '@vanillarelay/core';
import type { EndpointChanges } from './endpoint-changes.js';
import type { EndpointTableRow } from './endpoint-table-row.js';
import type { EndpointRecord } from './endpoint-record.js';
import { isNewerRecord } from './is-newer-record.js';

interface EndpointTableOptions {
  clock: Pick<Clock, 'monotonic'>;
  /** Time without an announcement after which an endpoint is marked silent, in milliseconds. */
  silenceMs: number;
  /** Called when a record is left out because it contradicts what is known of its endpoint. */
  reportContradiction?: (record: EndpointRecord, known: EndpointRecord) => void;
}

/**
 * How long a departed endpoint stays in the table, so that a delayed announcement does not re-add
 * it.
 */
const departedRetentionMs = 60_000;

/** Creates a daemon's table of endpoints, filled from announcements, other daemons and the disk. */
export function createEndpointTable(options: EndpointTableOptions) {
  const { clock, silenceMs, reportContradiction = () => {} } = options;
  const rows = new Map<EndpointId, EndpointTableRow>();
  let services = new Map<ServiceId, EndpointTableRow[]>();
  let lastChange = 0;
  let lastHeardCursor = 0;
  const listeners = new Set<() => void>();
  /** First announcement of each endpoint after it lost its address. */
  const returningSequences = new Map<EndpointId, number>();

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
   * Settles which endpoints keep the address of a record. Addresses are assigned again, so one that
   * started later takes the address over; endpoints that started at the same time both keep it, and
   * requests, which name their endpoint, show which of them is there. An endpoint that announces
   * itself although it has lost its address keeps it too. Returns false when the record is left out,
   * because its address has passed on.
   */
  const settleAddress = (record: EndpointRecord): boolean => {
    const { id, address, bornAt, state } = record;
    if (state === 'gone' || record.isAddressContested) return true;
    const others = [...rows.values()].filter(
      ({ record: other }) => other.address === address && other.id !== id && other.state !== 'gone',
    );
    if (others.some((other) => other.record.bornAt > bornAt)) return false;
    others
      .filter((other) => other.record.bornAt < bornAt && !other.record.isAddressContested)
      .forEach((other) =>
        update({ ...other.record, state: 'gone', isAddressContested: true }, other),
      );
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

  /**
   * Whether an endpoint that lost its address announces itself for the second time since then. A
   * single announcement may have been delayed and sent before the loss.
   */
  const isReturning = (received: EndpointRecord, { record: known }: EndpointTableRow): boolean => {
    if (known.state !== 'gone' || !known.isAddressContested) return true;
    if (received.bornAt !== known.bornAt || received.isAddressContested) return true;
    const first = returningSequences.get(received.id);
    if (first === undefined) returningSequences.set(received.id, received.sequence);
    return first !== undefined && received.sequence > first;
  };

  /** Merges a record from a peer or from the disk; returns whether the table changed. */
  const merge = (received: EndpointRecord): boolean => {
    const known = rows.get(received.id);
    if (known && isContradiction(received, known.record)) {
      reportContradiction(received, known.record);
      return false;
    }
    if (known && !isNewerRecord(received, known.record)) return mergeSilence(known, received);
    if (known && !isReturning(received, known)) return false;
    returningSequences.delete(received.id);
    const { isSilent, ...receivedWithoutSilence } = received;
    const isContested = known?.record.bornAt === received.bornAt && known.record.isAddressContested;
    const record: EndpointRecord = {
      ...(isSilent && known && isRecentlyHeard(known) ? receivedWithoutSilence : received),
      ...(isContested ? { isAddressContested: true } : {}),
      ...findKnownVersion(received, known?.record),
    };
    const at = clock.monotonic();
    const coldMs = record.coldLeftMs;
    const isColdLonger = coldMs > 0 && at + coldMs > (known?.coldUntil ?? 0) + coldToleranceMs;
    const isChange = !known || isColdLonger || !compareContent(known.record, record);
    if (!isChange) {
      known.record = record;
      return false;
    }
    if (!settleAddress(record)) return false;
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
    const { isAddressContested, ...record } = known.record;
    update({ ...record, state: 'gone' }, known);
    notify();
    return true;
  };

  const removeDeparted = (): void => {
    const now = clock.monotonic();
    rows.forEach(({ record, changedAt }, id) => {
      if (record.state !== 'gone' || now - changedAt <= departedRetentionMs) return;
      rows.delete(id);
      returningSequences.delete(id);
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
    a.version === b.version &&
    a.state === b.state &&
    Boolean(a.isSilent) === Boolean(b.isSilent) &&
    Boolean(a.isAddressContested) === Boolean(b.isAddressContested)
  );
}

/** Whether two records of one incarnation differ in what an incarnation cannot change. */
function isContradiction(next: EndpointRecord, known: EndpointRecord): boolean {
  const hasStart = next.bornAt > 0 && next.bornAt === known.bornAt;
  return hasStart && (next.address !== known.address || next.service !== known.service);
}

/** The version that a record from a daemon of an earlier version lacks, if its incarnation named one. */
function findKnownVersion(
  received: EndpointRecord,
  known: EndpointRecord | undefined,
): Pick<EndpointRecord, 'version'> {
  if (received.version !== undefined || known?.version === undefined) return {};
  return known.bornAt === received.bornAt ? { version: known.version } : {};
}
