import type { Clock } from '@vanillarelay/core';
import { isSlotLate } from './is-slot-late.js';
import type { LatenessLimits } from './lateness-limits.js';

interface LatenessOptions {
  clock: Pick<Clock, 'monotonic'>;
  /** Called when this router becomes late, or is in time again. */
  notify: (change: 'late' | 'inTime', details: object) => void;
}

/** What is known when the decision is made. */
interface LatenessFacts {
  limits: LatenessLimits | undefined;
  /** Other routers that are late, and all known ones; undefined without contact to a hub. */
  fleet: { late: number; routers: number } | undefined;
}

/** Time slots whose delays are judged as one: a single late turn fills one or two of them. */
const slotMs = 250;
const judgedSlots = 4;
/** Late slots among the judged ones from which a router is late. */
const lateSlots = 3;
/** Late slots from which it tells the other routers. */
const announcedSlots = 2;
/** Time for which it tells the others before it is taken out, so that they count it. */
const announceMs = 1_000;
/** Shortest time out; the load balancer needs two failed probes, a second apart, to notice. */
const minOutMs = 3_000;
/** Longest time out. */
const maxOutMs = 15_000;
/**
 * Time after the first contact with a hub in which this router is not taken out, as its code is
 * still being compiled.
 */
const startMs = 1_000;
/** Share of the routers that may be late at a time; beyond it the load is what is too high. */
const maxLateShare = 0.2;
/** Share of its time for which a router may be out for lateness that is not severe. */
const maxOutShare = 0.125;
/** Upper bound of the time out that a router saves up. */
const maxAllowanceMs = 8_000;

/**
 * Creates the decision whether this router is late, from the delays of its requests and of its event
 * loop. `update` is called at regular times; all else is a function of what was recorded.
 */
export function createLateness({ clock, notify }: LatenessOptions) {
  let slots: { startedAt: number; delays: number[] }[] = [];
  let updatedAt = clock.monotonic();
  let knownSince: number | undefined;
  /** Since when the others are told. */
  let announcedAt: number | undefined;
  let outSince: number | undefined;
  let isSevere = false;
  let allowanceMs = 0;

  const removeOldSlots = (): void => {
    const since = clock.monotonic() - judgedSlots * slotMs;
    slots = slots.filter(({ startedAt }) => startedAt >= since);
  };
  const record = (delayMs: number): void => {
    const now = clock.monotonic();
    const last = slots.at(-1);
    if (last && now - last.startedAt < slotMs) {
      last.delays.push(delayMs);
      return;
    }
    removeOldSlots();
    slots.push({ startedAt: now, delays: [delayMs] });
  };
  const countLateSlots = (limitMs: number): number => {
    removeOldSlots();
    return slots.filter(({ delays }) => isSlotLate(delays, limitMs)).length;
  };
  const end = (reason: string): void => {
    const ms = Math.round(clock.monotonic() - (outSince ?? 0));
    outSince = undefined;
    announcedAt = undefined;
    notify('inTime', { ms, reason });
  };
  const spendAllowance = (elapsedMs: number): void => {
    if (outSince === undefined) {
      allowanceMs = Math.min(maxAllowanceMs, allowanceMs + elapsedMs * maxOutShare);
    } else if (!isSevere) allowanceMs = Math.max(0, allowanceMs - elapsedMs);
  };
  const findEnd = ({ late, routers }: { late: number; routers: number }, count: number) => {
    const ms = clock.monotonic() - (outSince ?? 0);
    if (late + 1 > routers * maxLateShare) return 'others are late';
    if (ms >= maxOutMs) return 'longest time';
    if (!isSevere && allowanceMs <= 0) return 'share of the time';
    return ms >= minOutMs && count === 0 ? 'in time' : undefined;
  };
  const isStartAllowed = ({ late, routers }: { late: number; routers: number }): boolean => {
    const now = clock.monotonic();
    const isKnown = announcedAt !== undefined && now - announcedAt >= announceMs;
    const isStarting = knownSince === undefined || now - knownSince < startMs;
    const isAffordable = isSevere || allowanceMs >= minOutMs;
    return isKnown && !isStarting && isAffordable && late + 1 <= routers * maxLateShare;
  };

  return {
    /** Records how late this process did something. */
    record,
    /** Decides with what was recorded up to now. */
    update: ({ limits, fleet }: LatenessFacts): void => {
      const now = clock.monotonic();
      spendAllowance(now - updatedAt);
      updatedAt = now;
      if (!limits || !fleet) {
        if (outSince !== undefined) end('no contact to a hub');
        announcedAt = undefined;
        return;
      }
      knownSince ??= now;
      const count = countLateSlots(outSince === undefined ? limits.lateMs : limits.inTimeMs);
      if (outSince !== undefined) {
        isSevere ||= countLateSlots(limits.severeMs) >= lateSlots;
        const reason = findEnd(fleet, count);
        if (reason !== undefined) end(reason);
        return;
      }
      if (count >= announcedSlots) announcedAt ??= now;
      else announcedAt = undefined;
      if (count < lateSlots) return;
      isSevere = countLateSlots(limits.severeMs) >= lateSlots;
      if (!isStartAllowed(fleet)) return;
      outSince = now;
      notify('late', { lateSlots: count, isSevere, ...fleet });
    },
    /** Whether the others are told that this router is late. */
    isAnnounced: (): boolean => outSince !== undefined || announcedAt !== undefined,
    /** Whether this router takes itself out because it is late. */
    isOut: (): boolean => outSince !== undefined,
  };
}
