import type { Clock, DataCentreId, EndpointId, ServiceId } from '@vanillarelay/core';
import type { EndpointEntry } from './endpoint-entry.js';
import type { EndpointRecord } from './endpoint-record.js';
import { isNewerRecord } from './is-newer-record.js';

interface EndpointTableOptions {
  clock: Pick<Clock, 'monotonic'>;
  /** Silence after which an endpoint counts as silent, in milliseconds. */
  silenceMs: number;
}

/** Departed endpoints are remembered, so that a delayed announcement does not bring them back. */
const goneKeptMs = 60_000;

/** Makes the table of endpoints that announced themselves. */
export function createEndpointTable({ clock, silenceMs }: EndpointTableOptions) {
  const entries = new Map<EndpointId, EndpointEntry>();
  let services = new Map<ServiceId, EndpointEntry[]>();
  let lastChange = 0;
  let lastMark = 0;
  const listeners = new Set<() => void>();

  const notify = () => {
    services = new Map();
    entries.forEach((entry) => {
      if (entry.record.state === 'gone') return;
      const { service } = entry.record;
      services.set(service, [...(services.get(service) ?? []), entry]);
    });
    listeners.forEach((listener) => listener());
  };

  const update = (record: EndpointRecord, known: EndpointEntry | undefined): void => {
    const at = clock.monotonic();
    lastChange += 1;
    entries.set(record.id, {
      record,
      firstSeenAt: known?.record.bornAt === record.bornAt ? known.firstSeenAt : at,
      coldUntil: record.coldLeftMs > 0 ? at + record.coldLeftMs : 0,
      heardAt: record.isSilent ? (known?.heardAt ?? -Infinity) : at,
      heardMark: known?.heardMark ?? 0,
      change: lastChange,
      changedAt: at,
    });
  };

  /** An address belongs to the incarnation that started last. */
  const removeOthersAt = ({ id, address, bornAt, state }: EndpointRecord): boolean => {
    if (state === 'gone') return true;
    const others = [...entries.values()].filter(
      ({ record }) => record.address === address && record.id !== id && record.state !== 'gone',
    );
    if (others.some(({ record }) => record.bornAt > bornAt)) return false;
    others.forEach((other) => update({ ...other.record, state: 'gone' }, other));
    return true;
  };

  const isHeardLately = ({ heardAt }: EndpointEntry): boolean =>
    clock.monotonic() - heardAt <= silenceMs / 2;

  const computeColdLeft = ({ coldUntil }: EndpointEntry): number =>
    Math.max(0, coldUntil - clock.monotonic());

  /** Returns whether that is a change; the caller notifies. */
  const updateSilence = (entry: EndpointEntry, isSilent: boolean): boolean => {
    const { isSilent: wasSilent, ...record } = entry.record;
    if (Boolean(wasSilent) === isSilent) return false;
    const coldLeftMs = computeColdLeft(entry);
    update({ ...record, coldLeftMs, ...(isSilent ? { isSilent } : {}) }, entry);
    return true;
  };

  /** Takes a peer's word on whether an endpoint is silent; its record may be older than the known one. */
  const mergeSilence = (known: EndpointEntry, { bornAt, isSilent }: EndpointRecord): boolean => {
    const { record } = known;
    const turns = Boolean(record.isSilent) !== Boolean(isSilent);
    if (!turns || record.bornAt !== bornAt || record.state === 'gone') return false;
    if (isSilent && isHeardLately(known)) return false;
    updateSilence(known, Boolean(isSilent));
    notify();
    return true;
  };

  /** Takes a record from a peer or from the disk; returns whether it told something new. */
  const merge = (told: EndpointRecord): boolean => {
    const known = entries.get(told.id);
    if (known && !isNewerRecord(told, known.record)) return mergeSilence(known, told);
    const { isSilent, ...heard } = told;
    const record: EndpointRecord = isSilent && known && isHeardLately(known) ? heard : told;
    const at = clock.monotonic();
    const coldMs = record.coldLeftMs;
    const isColder = coldMs > 0 && at + coldMs > (known?.coldUntil ?? 0) + coldToleranceMs;
    const isChange = !known || isColder || !compareContent(known.record, record);
    if (!isChange) {
      known.record = record;
      return false;
    }
    if (!removeOthersAt(record)) return false;
    const isSame = known?.record.bornAt === record.bornAt;
    const keptColdMs = isSame ? (known?.coldUntil ?? 0) - at : 0;
    update({ ...record, coldLeftMs: Math.max(record.coldLeftMs, keptColdMs, 0) }, known);
    notify();
    return true;
  };

  const markHeard = (ids: readonly EndpointId[], isFirstHand: boolean): void => {
    let isChanged = false;
    ids.forEach((id) => {
      const entry = entries.get(id);
      if (!entry) return;
      entry.heardAt = clock.monotonic();
      if (isFirstHand) {
        lastMark += 1;
        entry.heardMark = lastMark;
      }
      isChanged = updateSilence(entry, false) || isChanged;
    });
    if (isChanged) notify();
  };

  const remove = (id: EndpointId): boolean => {
    const known = entries.get(id);
    if (!known || known.record.state === 'gone') return false;
    update({ ...known.record, state: 'gone' }, known);
    notify();
    return true;
  };

  const removeDeparted = (): void => {
    const at = clock.monotonic();
    entries.forEach(({ record, changedAt }, id) => {
      if (record.state === 'gone' && at - changedAt > goneKeptMs) entries.delete(id);
    });
  };

  /** Marks endpoints silent whose announcements stopped; returns their ids. */
  const checkSilence = (): EndpointId[] => {
    const at = clock.monotonic();
    const silent = [...entries.values()].filter(
      ({ record, heardAt }) =>
        record.state !== 'gone' && !record.isSilent && at - heardAt > silenceMs,
    );
    silent.forEach((entry) => updateSilence(entry, true));
    if (silent.length > 0) notify();
    return silent.map(({ record }) => record.id);
  };

  /** Counts the endpoints of a data centre as cold, since nothing was sent to them for a while. */
  const markCold = (dataCentre: DataCentreId, findColdMs: (service: ServiceId) => number): void => {
    const at = clock.monotonic();
    entries.forEach((entry) => {
      if (entry.record.dataCentre !== dataCentre) return;
      entry.coldUntil = Math.max(entry.coldUntil, at + findColdMs(entry.record.service));
    });
  };

  return {
    merge,
    /** Takes an endpoint's own announcement; returns whether it told something new. */
    announce: (record: EndpointRecord): boolean => {
      const isNews = merge(record);
      const known = entries.get(record.id);
      const isLate = known && isNewerRecord(known.record, record);
      if (known && !isLate) markHeard([record.id], true);
      return isNews;
    },
    remove,
    checkSilence,
    removeDeparted,
    markCold,
    find: (id: EndpointId): EndpointEntry | undefined => entries.get(id),
    listService: (service: ServiceId): readonly EndpointEntry[] => services.get(service) ?? [],
    listAll: (): EndpointEntry[] => [...entries.values()],
    /** Records that changed after the given position, with what is left of their cold time. */
    listChanges: (after: number): EndpointRecord[] =>
      [...entries.values()]
        .filter(({ change }) => change > after)
        .map((entry) => ({ ...entry.record, coldLeftMs: computeColdLeft(entry) })),
    /**
     * Ids whose own announcements arrived after the given mark, here or at a daemon that told this
     * one. What another hub told is left out: two hubs would go on confirming a crashed endpoint.
     */
    listHeard: (after: number): EndpointId[] => {
      const since = clock.monotonic() - silenceMs;
      return [...entries.values()]
        .filter(({ heardMark, heardAt }) => heardMark > after && heardAt >= since)
        .map(({ record }) => record.id);
    },
    readLastMark: () => lastMark,
    /** Takes what a daemon that announces to this one heard. */
    markHeard: (ids: readonly EndpointId[]): void => markHeard(ids, true),
    /** Takes what another hub heard from its daemons. */
    markHeardElsewhere: (ids: readonly EndpointId[]): void => markHeard(ids, false),
    readLastChange: () => lastChange,
    observe: (listener: () => void) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}

/** Two announcements of one cold period differ by the time on the way. */
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
