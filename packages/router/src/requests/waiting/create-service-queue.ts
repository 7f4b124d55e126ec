import type { Clock } from '@vanillarelay/core';
import {
  createPlaceRate,
  createRefusalMemory,
  createUrgentReserve,
  createWaitingQueue,
  type Admission,
  type DemandGroup,
  type WaitingRequest,
} from '@vanillarelay/scheduling';
import type { HoldReason } from './hold-reason.js';
import type { QueuedRequest } from './queued-request.js';
import type { WaitRefusal } from './wait-refusal.js';

interface ServiceQueueOptions {
  clock: Pick<Clock, 'monotonic' | 'startTimer'>;
  /** Resolves when a request may be sent. */
  waitForTurn: () => Promise<void>;
}

/** Requests that wait at one router for one service; it bounds the time to choose among them. */
const maxLength = 128;
/** Interval in which places are looked for that no event announces, such as a refilled limit. */
const fallbackMs = 40;

/**
 * Creates the queue of one service at this router. A place that becomes free is offered to the
 * waiting requests in their order, one for each turn of the send queue.
 */
export function createServiceQueue({ clock, waitForTurn }: ServiceQueueOptions) {
  const queue = createWaitingQueue<QueuedRequest>({ maxLength });
  const placeRate = createPlaceRate();
  const refusals = createRefusalMemory();
  const reserve = createUrgentReserve();
  const refusalCounts: Partial<Record<WaitRefusal['rule'], number>> = {};
  const holdCounts: Partial<Record<HoldReason, number>> = {};
  let isDispatching = false;
  let isWoken = false;
  let cancelTimer: (() => void) | undefined;

  const refuseExpired = (): void => {
    const now = clock.monotonic();
    queue.takeExpired(now).forEach((request) => {
      request.refuse({ rule: 'waitOver', ahead: queue.countAhead(request, now) });
    });
  };

  const dispatch = async (): Promise<void> => {
    isDispatching = true;
    while (isWoken && queue.count() > 0) {
      isWoken = false;
      await waitForTurn();
      refuseExpired();
      if (queue.take(clock.monotonic(), (request) => request.start())) isWoken = true;
    }
    isDispatching = false;
  };

  const wake = (): void => {
    if (queue.count() === 0) return;
    isWoken = true;
    if (!isDispatching) void dispatch();
  };

  const startTimer = (): void => {
    if (cancelTimer || queue.count() === 0) return;
    const firstEnd = Math.min(...queue.list().map(({ latestStartAt }) => latestStartAt));
    const ms = Math.max(1, Math.min(fallbackMs, firstEnd - clock.monotonic()));
    cancelTimer = clock.startTimer(ms, () => {
      cancelTimer = undefined;
      refuseExpired();
      wake();
      startTimer();
    });
  };

  const stopTimer = (): void => {
    if (queue.count() > 0) return;
    cancelTimer?.();
    cancelTimer = undefined;
  };

  return {
    /** Adds a request, unless it is refused. */
    admit: (request: QueuedRequest): Admission<QueuedRequest> => {
      const now = clock.monotonic();
      const admission = queue.admit(request, now, placeRate.read(now));
      const { removed } = admission;
      removed?.refuse({ rule: 'queueFull', ahead: queue.countAhead(removed, now) });
      startTimer();
      wake();
      return admission;
    },
    remove: (request: QueuedRequest): void => {
      queue.remove(request);
      stopTimer();
    },
    /** Records the end of a request of this service, which leaves a place. */
    recordEnd: (): void => {
      placeRate.record(clock.monotonic());
      wake();
    },
    recordArrival: (urgency: number): void => reserve.record(urgency, clock.monotonic()),
    /** Number of free places that a request of this urgency must leave to more urgent ones. */
    computeReserve: (urgency: number, places: number): number =>
      reserve.compute(urgency, places, clock.monotonic()),
    /** Number of waiting requests by urgency and account. */
    countGroups: (): Map<DemandGroup, number> => {
      const counts = new Map<DemandGroup, number>();
      queue.list().forEach(({ urgency, account }) => {
        const group: DemandGroup = `${urgency} ${account}`;
        counts.set(group, (counts.get(group) ?? 0) + 1);
      });
      return counts;
    },
    /** Offers places to the waiting requests after news of the endpoints. */
    wake,
    hasBefore: (urgency: number): boolean => queue.hasBefore(urgency, clock.monotonic()),
    countAhead: (request: WaitingRequest): number => queue.countAhead(request, clock.monotonic()),
    readPlacesPerMs: (): number | undefined => placeRate.read(clock.monotonic()),
    /** Counts a refusal by the rule that decided it. */
    recordRefusal: (rule: WaitRefusal['rule']): void => {
      refusalCounts[rule] = (refusalCounts[rule] ?? 0) + 1;
    },
    /** Counts a choice that left out endpoints with free places. */
    recordHold: (reason: HoldReason): void => {
      holdCounts[reason] = (holdCounts[reason] ?? 0) + 1;
    },
    refusalCounts: refusalCounts as Readonly<typeof refusalCounts>,
    holdCounts: holdCounts as Readonly<typeof holdCounts>,
    list: queue.list,
    refusals,
  };
}
