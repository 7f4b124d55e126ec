import { RelayError, ResultCode, type Clock } from '@vanillarelay/core';
import { createFairQueue } from './create-fair-queue.js';
import type { QueueItem } from './queue-item.js';
import type { SlotRequest } from './slot-request.js';

interface AdmissionOptions {
  clock: Clock;
  /** Returns how many requests may run concurrently now: the lowest of all bounds. */
  readLimit: () => number;
  /** Throws the refusal when no new work is allowed at all. */
  checkOpen: () => void;
}

/** Interval at which queued requests are checked against the current bounds and state. */
const recheckIntervalMs = 50;
const maxQueuedRequests = 1_024;
const maxQueuedRequestsPerAccount = 256;
/** The load bound follows the hub's updates, two a second; an earlier retry would be refused. */
const busyRetryAfterMs = 500;

/** Creates the admission control of an endpoint, which grants slots and queues requests. */
export function createAdmission({ clock, readLimit, checkOpen }: AdmissionOptions) {
  const queue = createFairQueue({
    limit: maxQueuedRequests,
    accountLimit: maxQueuedRequestsPerAccount,
  });
  const idleListeners = new Set<() => void>();
  let running = 0;
  let isExclusive = false;
  let cancelRecheck: (() => void) | undefined;

  const hasFreeSlot = (exclusive: boolean): boolean => {
    if (isExclusive) return false;
    return exclusive ? running === 0 : running + 1 <= readLimit();
  };

  const release = (): void => {
    running -= 1;
    isExclusive = false;
    grantNext();
    if (running > 0 || queue.count() > 0) return;
    idleListeners.forEach((wake) => wake());
    idleListeners.clear();
  };

  /** Takes a slot; the returned function releases it at its first call. */
  const takeSlot = (exclusive: boolean): (() => void) => {
    running += 1;
    isExclusive = exclusive;
    let isHeld = true;
    return () => {
      if (isHeld) release();
      isHeld = false;
    };
  };

  const grantNext = (): void => {
    for (let item = queue.findNext(); item; item = queue.findNext()) {
      try {
        checkOpen();
      } catch (error) {
        queue.remove(item);
        item.refuse(error as Error);
        continue;
      }
      if (!hasFreeSlot(item.exclusive)) break;
      queue.remove(item, true);
      item.grant();
    }
    scheduleRecheck();
  };

  const scheduleRecheck = (): void => {
    if (cancelRecheck || queue.count() === 0) return;
    cancelRecheck = clock.startTimer(recheckIntervalMs, () => {
      cancelRecheck = undefined;
      grantNext();
    });
  };

  const pushAndWait = (request: SlotRequest, signal: AbortSignal): Promise<() => void> =>
    new Promise((resolve, reject) => {
      const untilDeadlineMs = request.deadlineAt - clock.monotonic();
      const waitMs = request.mustArrive
        ? untilDeadlineMs
        : Math.min(untilDeadlineMs, request.patienceMs);
      let cancelExpiry = () => {};
      const refuse = (error: Error) => {
        if (queue.remove(item)) item.refuse(error);
        grantNext();
      };
      const abort = () => refuse(buildCancelledError());
      const clearWait = () => {
        cancelExpiry();
        signal.removeEventListener('abort', abort);
      };
      const item: QueueItem = {
        account: request.account,
        priority: request.priority,
        exclusive: request.exclusive,
        deadlineAt: request.deadlineAt,
        grant: () => {
          clearWait();
          resolve(takeSlot(request.exclusive));
        },
        refuse: (error) => {
          clearWait();
          reject(error);
        },
      };
      if (!queue.push(item)) {
        reject(buildQueueFullError());
        return;
      }
      cancelExpiry = clock.startTimer(waitMs, () =>
        refuse(buildExpiryError(waitMs >= untilDeadlineMs)),
      );
      signal.addEventListener('abort', abort, { once: true });
      scheduleRecheck();
    });

  /** Resolves with a function that releases the slot; every rejection is `notRun: true`. */
  const admit = async (request: SlotRequest, signal: AbortSignal): Promise<() => void> => {
    checkOpen();
    if (signal.aborted) throw buildCancelledError();
    if (request.deadlineAt <= clock.monotonic()) throw buildExpiryError(true);
    if (queue.count() === 0 && hasFreeSlot(request.exclusive)) return takeSlot(request.exclusive);
    return pushAndWait(request, signal);
  };

  return {
    admit,
    countRunning: () => running,
    countWaiting: () => queue.count(),
    /** Grants free slots to queued requests, or refuses them when no new work is allowed. */
    recheck: grantNext,
    /** Resolves when nothing runs or waits. */
    waitUntilIdle: (): Promise<void> =>
      running === 0 && queue.count() === 0
        ? Promise.resolve()
        : new Promise((resolve) => {
            idleListeners.add(resolve);
          }),
  };
}

function buildExpiryError(isDeadline: boolean): RelayError {
  return isDeadline
    ? new RelayError(ResultCode.deadlineExceeded, 'deadline passed before a slot was free', {
        notRun: true,
        retryAfterMs: busyRetryAfterMs,
      })
    : new RelayError(ResultCode.endpointBusy, 'endpoint has no free slot', {
        notRun: true,
        retryAfterMs: busyRetryAfterMs,
      });
}

function buildQueueFullError(): RelayError {
  return new RelayError(ResultCode.queueFull, 'queue is full', {
    notRun: true,
    retryAfterMs: busyRetryAfterMs,
  });
}

function buildCancelledError(): RelayError {
  return new RelayError(ResultCode.cancelled, 'caller left', { notRun: true, retryAfterMs: 0 });
}
