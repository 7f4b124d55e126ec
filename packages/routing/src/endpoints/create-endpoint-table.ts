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

  /** Takes a record; returns whether it told something that others must hear. */
  const merge = (record: EndpointRecord): boolean => {
    const known = entries.get(record.id);
    if (known && !isNewerRecord(record, known.record)) {
      const isSame = known.record.bornAt === record.bornAt && known.record.state !== 'gone';
      if (isSame && record.isSilent && !known.record.isSilent) return false;
      if (isSame && !record.isSilent) known.heardAt = clock.monotonic();
      return false;
    }
    const at = clock.monotonic();
    const coldMs = record.coldLeftMs;
    const isColder = coldMs > 0 && at + coldMs > (known?.coldUntil ?? 0) + coldToleranceMs;
    const isChange =
      !known || isColder || !compareContent(known.record, record) || Boolean(known.record.isSilent);
    if (!isChange && known) {
      known.record = record;
      known.heardAt = at;
      return false;
    }
    if (!removeOthersAt(record)) return false;
    const keptColdMs = known?.record.bornAt === record.bornAt ? (known?.coldUntil ?? 0) - at : 0;
    update({ ...record, coldLeftMs: Math.max(record.coldLeftMs, keptColdMs, 0) }, known);
    notify();
    return true;
  };

  const remove = (id: EndpointId): boolean => {
    const known = entries.get(id);
    if (!known || known.record.state === 'gone') return false;
    update({ ...known.record, state: 'gone' }, known);
    notify();
    return true;
  };

  /** Marks endpoints silent whose announcements stopped, and forgets those long gone. */
  const checkSilence = (): void => {
    const at = clock.monotonic();
    let isChanged = false;
    entries.forEach((entry, id) => {
      const { record } = entry;
      if (record.state === 'gone') {
        if (at - entry.changedAt > goneKeptMs) entries.delete(id);
        return;
      }
      if (record.isSilent || at - entry.heardAt <= silenceMs) return;
      update({ ...record, isSilent: true, coldLeftMs: Math.max(0, entry.coldUntil - at) }, entry);
      isChanged = true;
    });
    if (isChanged) notify();
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
    remove,
    checkSilence,
    markCold,
    find: (id: EndpointId): EndpointEntry | undefined => entries.get(id),
    listService: (service: ServiceId): readonly EndpointEntry[] => services.get(service) ?? [],
    listAll: (): EndpointEntry[] => [...entries.values()],
    /** Records that changed after the given position, with what is left of their cold time. */
    listChanges: (after: number): EndpointRecord[] => {
      const at = clock.monotonic();
      return [...entries.values()]
        .filter(({ change }) => change > after)
        .map(({ record, coldUntil }) => ({ ...record, coldLeftMs: Math.max(0, coldUntil - at) }));
    },
    /** Ids heard within the last `ms`. */
    listHeard: (ms: number): EndpointId[] => {
      const since = clock.monotonic() - ms;
      return [...entries.values()]
        .filter(({ heardAt, record }) => heardAt >= since && record.state !== 'gone')
        .map(({ record }) => record.id);
    },
    markHeard: (ids: readonly EndpointId[], agoMs: number): void => {
      const at = clock.monotonic() - agoMs;
      ids.forEach((id) => {
        const entry = entries.get(id);
        if (entry) entry.heardAt = Math.max(entry.heardAt, at);
      });
    },
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
    a.state === b.state
  );
}
