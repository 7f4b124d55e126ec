import type { Announcement, EndpointId, Frame, Member, ServiceId } from '@vanillarelay/core';
import type { MemberRecord } from './member-record.js';

/** A silent endpoint is dropped after this long. */
const silenceLimitMs = 3_000;
const highestLoad = 255;

/** Makes the hub's table of endpoints: soft state from the agents' reports. */
export function createMemberTable() {
  const records = new Map<EndpointId, MemberRecord>();
  const removed = new Map<EndpointId, number>();
  let generation = 1;
  let nextSlot = 0;

  const receive = (announcement: Announcement, monotonic: number): void => {
    const record = records.get(announcement.id);
    if (record && !isNewer(announcement, record.announcement)) return;
    const isChanged = !record || hasChanged(record.announcement, announcement);
    if (isChanged) generation += 1;
    if (!record) nextSlot += 1;
    removed.delete(announcement.id);
    records.set(announcement.id, {
      announcement,
      slot: record?.slot ?? nextSlot - 1,
      changedIn: isChanged ? generation : record.changedIn,
      seenAt: monotonic,
    });
  };

  const removeSilent = (monotonic: number): void => {
    records.forEach((record, id) => {
      if (monotonic - record.seenAt <= silenceLimitMs) return;
      records.delete(id);
      generation += 1;
      removed.set(id, generation);
    });
  };

  const computeMeans = (): Record<ServiceId, number> => {
    const sums = new Map<ServiceId, { running: number; count: number }>();
    records.forEach(({ announcement }) => {
      if (announcement.status === 'leaving') return;
      const sum = sums.get(announcement.service) ?? { running: 0, count: 0 };
      sum.running += announcement.running;
      sum.count += 1;
      sums.set(announcement.service, sum);
    });
    const means: Record<ServiceId, number> = {};
    sums.forEach(({ running, count }, service) => {
      means[service] = Math.round((running / count) * 100) / 100;
    });
    return means;
  };

  const buildDelta = (
    since: number,
  ): Pick<Frame, 'whole' | 'members' | 'removed' | 'loads' | 'means'> => {
    const whole = since <= 0 || since > generation;
    const loads = new Uint8Array(nextSlot);
    const members: Frame['members'] = [];
    records.forEach(({ announcement, slot, changedIn }) => {
      loads[slot] = Math.min(highestLoad, announcement.running);
      if (whole || changedIn > since) members.push({ member: toMember(announcement), slot });
    });
    return {
      whole,
      members,
      removed: whole ? [] : [...removed].filter(([, at]) => at > since).map(([id]) => id),
      loads: Buffer.from(loads).toString('base64'),
      means: computeMeans(),
    };
  };

  return { receive, removeSilent, buildDelta, readGeneration: () => generation };
}

function isNewer(next: Announcement, last: Announcement): boolean {
  if (next.incarnation !== last.incarnation) return next.incarnation > last.incarnation;
  return next.sequence > last.sequence;
}

function hasChanged(last: Announcement, next: Announcement): boolean {
  return (
    last.incarnation !== next.incarnation ||
    last.status !== next.status ||
    last.address !== next.address ||
    last.slots !== next.slots
  );
}

function toMember({ sequence, running, ...member }: Announcement): Member {
  return { ...member, damped: false };
}
