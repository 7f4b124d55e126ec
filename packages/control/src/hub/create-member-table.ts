import type {
  Announcement,
  DaemonId,
  DataCentreId,
  EndpointId,
  Frame,
  Member,
  ServiceId,
} from '@vanillarelay/core';
import { createDamping } from './create-damping.js';
import { createSlotTable } from './create-slot-table.js';
import type { Damping } from './damping.js';
import type { MemberRecord } from './member-record.js';

interface MemberTableOptions {
  /** Whether the state allows the member to serve; others do not count in the mean load. */
  isServing?: (member: Announcement) => boolean;
}

interface Tombstone {
  incarnation: number;
  sequence: number;
  /** Generation of the table in which the member was removed. */
  removedIn: number;
  removedAt: number;
  damping: Damping;
}

type MemberDelta = Pick<Frame, 'whole' | 'more' | 'members' | 'removed' | 'loads' | 'means'> & {
  /** Cursor of the daemon after this delta. */
  generation: number;
};

/** An endpoint that no hub has heard from for this long is removed. */
const silenceLimitMs = 3_000;
/** A longer time between two updates means that the hub itself was suspended. */
const pauseLimitMs = 1_500;
const minUpdateIntervalMs = 100;
/** How long a removed endpoint is remembered; outlasts its flap penalty, which is kept with it. */
const tombstoneRetentionMs = 120_000;
/** Number of agents that daemons ask about the control group when they cannot reach it. */
const contactPeersPerDataCentre = 3;
/** A load is sent as one byte. */
const maxLoad = 255;
/** Limit of the changed members in one frame, about 50 KB of JSON. */
const maxMembersPerFrame = 250;
/** Bytes for the names, the quotes and the mean of a service in a frame. */
const serviceOverheadBytes = 16;

/** Creates the hub's table of endpoints, soft state from the agents' reports to all hubs. */
export function createMemberTable({ isServing = () => true }: MemberTableOptions = {}) {
  const records = new Map<EndpointId, MemberRecord>();
  const tombstones = new Map<EndpointId, Tombstone>();
  const slots = createSlotTable();
  /** Grows with each change of a member; a daemon's cursor is the last generation it received. */
  let generation = 1;
  /** Cursors below this miss removals whose tombstones have expired. */
  let oldestCursor = 0;
  let updatedAt = Number.NEGATIVE_INFINITY;
  let isDirty = false;
  let loads: Record<ServiceId, string> = {};
  let means: Record<ServiceId, number> = {};
  const loadBytes = new Map<ServiceId, number>();
  let totalLoadBytes = 0;

  const receive = (
    announcement: Announcement,
    seenAt: number,
    origin: DaemonId,
    now: number = seenAt,
  ): void => {
    const { id } = announcement;
    const record = records.get(id);
    const last = record?.announcement ?? tombstones.get(id);
    if (now - seenAt > silenceLimitMs || (last && !isNewer(announcement, last))) return;
    const damping = record?.damping ?? tombstones.get(id)?.damping ?? createDamping();
    if (last && (!record || last.incarnation !== announcement.incarnation)) damping.add(now);
    const isChanged = !record || hasChanged(record.announcement, announcement);
    if (isChanged) generation += 1;
    tombstones.delete(id);
    records.set(id, {
      announcement,
      slot: resolveSlot(record, announcement),
      changedIn: isChanged ? generation : record.changedIn,
      seenAt: Math.max(seenAt, record?.seenAt ?? seenAt),
      origin,
      learnedAt: now,
      movedAt: record?.origin === origin ? record.movedAt : now,
      damping,
      damped: damping.isDamped(now),
      isContactPeer: record?.isContactPeer ?? false,
    });
    isDirty ||= isChanged;
  };

  const resolveSlot = (record: MemberRecord | undefined, { id, service }: Announcement): number => {
    if (record?.announcement.service === service) return record.slot;
    if (record) slots.remove(record.announcement.service, record.slot);
    return slots.add(service, id);
  };

  /** Updates the load of a member whose announcement is known. */
  const receiveLoad = (
    id: EndpointId,
    load: Pick<Announcement, 'incarnation' | 'sequence' | 'running'>,
    seenAt: number,
    origin: DaemonId,
    now: number,
  ): void => {
    const record = records.get(id);
    if (!record || record.announcement.incarnation !== load.incarnation) return;
    if (load.sequence <= record.announcement.sequence) return;
    const { sequence, running } = load;
    record.announcement = { ...record.announcement, sequence, running };
    record.seenAt = Math.max(record.seenAt, seenAt);
    record.learnedAt = now;
    if (record.origin !== origin) record.movedAt = now;
    record.origin = origin;
  };

  const removeSilent = (now: number): void => {
    records.forEach((record, id) => {
      if (now - record.seenAt <= silenceLimitMs) return;
      const { incarnation, sequence, service } = record.announcement;
      generation += 1;
      isDirty = true;
      records.delete(id);
      slots.remove(service, record.slot);
      const { damping } = record;
      tombstones.set(id, { incarnation, sequence, removedIn: generation, removedAt: now, damping });
    });
    tombstones.forEach((tombstone, id) => {
      if (now - tombstone.removedAt <= tombstoneRetentionMs) return;
      tombstones.delete(id);
      oldestCursor = Math.max(oldestCursor, tombstone.removedIn);
    });
  };

  /** Chooses the first agents of each data centre; a new choice is a change of the member. */
  const chooseContactPeers = (): void => {
    const counts = new Map<DataCentreId, number>();
    [...records.keys()].sort().forEach((id) => {
      const record = records.get(id) as MemberRecord;
      const { dataCentre } = record.announcement;
      const count = counts.get(dataCentre) ?? 0;
      counts.set(dataCentre, count + 1);
      const isContactPeer = count < contactPeersPerDataCentre;
      if (isContactPeer === record.isContactPeer) return;
      generation += 1;
      record.isContactPeer = isContactPeer;
      record.changedIn = generation;
    });
  };

  const updateDamped = (now: number): void => {
    records.forEach((record) => {
      const damped = record.damping.isDamped(now);
      if (record.damped === damped) return;
      generation += 1;
      record.damped = damped;
      record.changedIn = generation;
    });
  };

  const computeMeans = (): Record<ServiceId, number> => {
    const sums = new Map<ServiceId, { running: number; count: number }>();
    records.forEach(({ announcement }) => {
      if (announcement.status === 'leaving' || !isServing(announcement)) return;
      const sum = sums.get(announcement.service) ?? { running: 0, count: 0 };
      sum.running += announcement.running;
      sum.count += 1;
      sums.set(announcement.service, sum);
    });
    const values: Record<ServiceId, number> = {};
    sums.forEach(({ running, count }, service) => {
      values[service] = Math.round((running / count) * 100) / 100;
    });
    return values;
  };

  /** Removes silent members and recomputes loads and means, every 100 ms or after a change. */
  const update = (now: number): void => {
    const pauseMs = now - updatedAt;
    if (pauseMs < minUpdateIntervalMs && !isDirty) return;
    // Time in which this hub was suspended does not count as silence of the endpoints.
    if (pauseMs > pauseLimitMs && Number.isFinite(pauseMs)) {
      records.forEach((record) => {
        record.seenAt = Math.min(now, record.seenAt + pauseMs);
      });
    }
    updatedAt = now;
    removeSilent(now);
    if (isDirty) chooseContactPeers();
    isDirty = false;
    updateDamped(now);
    means = computeMeans();
    loads = {};
    loadBytes.clear();
    const readLoad = (id: EndpointId) =>
      Math.min(maxLoad, records.get(id)?.announcement.running ?? 0);
    slots.buildVectors(readLoad).forEach((vector, service) => {
      const text = Buffer.from(vector).toString('base64');
      loads[service] = text;
      loadBytes.set(service, text.length + 2 * service.length + serviceOverheadBytes);
    });
    totalLoadBytes = [...loadBytes.values()].reduce((sum, bytes) => sum + bytes, 0);
  };

  /**
   * Changes since a cursor, oldest first, for a daemon that follows `services`, or all services.
   * Many changes are split over several frames, so that a hub can reply to many daemons that join
   * at once.
   */
  const buildDelta = (since: number, services?: readonly ServiceId[]): MemberDelta => {
    const whole = since <= 0 || since > generation || since < oldestCursor;
    const wanted = services && new Set(services);
    const changed = [...records.values()].filter(
      ({ announcement, changedIn, isContactPeer }) =>
        (whole || changedIn > since) &&
        (!wanted || isContactPeer || wanted.has(announcement.service)),
    );
    const more = changed.length > maxMembersPerFrame;
    if (more) changed.sort((a, b) => a.changedIn - b.changedIn).length = maxMembersPerFrame;
    const until = more ? (changed.at(-1)?.changedIn ?? generation) : generation;
    const removed = [...tombstones].filter(
      ([, { removedIn }]) => removedIn > since && removedIn <= until,
    );
    return {
      whole,
      more,
      generation: until,
      members: changed.map((record) => ({ member: toMember(record), slot: record.slot })),
      removed: whole ? [] : removed.map(([id]) => id),
      loads: more ? {} : selectServices(loads, services),
      means: more ? {} : selectServices(means, services),
    };
  };

  /** Size of the loads and means in a frame for a daemon that follows `services`, or all. */
  const countLoadBytes = (services?: readonly ServiceId[]): number =>
    services
      ? services.reduce((sum, service) => sum + (loadBytes.get(service) ?? 0), 0)
      : totalLoadBytes;

  return {
    receive,
    receiveLoad,
    update,
    buildDelta,
    countLoadBytes,
    readGeneration: () => generation,
    listRecords: () => records.values(),
    /** All endpoints for operators. */
    listEndpoints: () =>
      [...records.values()].map((record) => ({
        ...toMember(record),
        running: record.announcement.running,
      })),
  };
}

function isNewer(
  next: Pick<Announcement, 'incarnation' | 'sequence'>,
  last: Pick<Announcement, 'incarnation' | 'sequence'>,
): boolean {
  if (next.incarnation !== last.incarnation) return next.incarnation > last.incarnation;
  return next.sequence > last.sequence;
}

function hasChanged(last: Announcement, next: Announcement): boolean {
  return (
    last.incarnation !== next.incarnation ||
    last.status !== next.status ||
    last.service !== next.service ||
    last.address !== next.address ||
    last.slots !== next.slots
  );
}

function selectServices<T>(
  values: Record<ServiceId, T>,
  services: readonly ServiceId[] | undefined,
): Record<ServiceId, T> {
  if (!services) return values;
  const selected: Record<ServiceId, T> = {};
  services.forEach((service) => {
    const value = values[service];
    if (value !== undefined) selected[service] = value;
  });
  return selected;
}

function toMember({ announcement, damped }: MemberRecord): Member {
  const { sequence, running, ...member } = announcement;
  return { ...member, damped };
}
