import type { Clock } from '@vanillarelay/core';
import type { HeldRequest } from './held-request.js';
import type { HoldEnd } from './hold-end.js';

interface HeldRequestsOptions {
  clock: Pick<Clock, 'monotonic' | 'startTimer'>;
  /** Aborted when the process begins to stop. */
  stopSignal: AbortSignal;
}

interface Waiter {
  /** Monotonic time; Infinity for a caller that names no limit. */
  deadlineAt: number;
  end: (reason: HoldEnd) => void;
}

/** Longest hold; a state that takes longer is missing because no quorum of hubs is there. */
const maxHoldMs = 1_000;
/** Share of a caller's time for which it is held, which leaves it the time for another try. */
const maxHoldShare = 0.3;
/** Requests that reach a busy router within the longest hold, with room for a burst. */
const maxCount = 256;
const maxBytes = 8 * 1024 * 1024;

/**
 * Creates the set of requests that are held, with their bodies unread, until the first configuration
 * is in force. Their number and memory are bounded.
 */
export function createHeldRequests({ clock, stopSignal }: HeldRequestsOptions) {
  const waiters = new Set<Waiter>();
  let heldBytes = 0;
  const endAll = (reason: HoldEnd): void =>
    [...waiters]
      .sort((a, b) => (a.deadlineAt === b.deadlineAt ? 0 : a.deadlineAt - b.deadlineAt))
      .forEach(({ end }) => end(reason));
  stopSignal.addEventListener('abort', () => endAll('stopping'), { once: true });

  return {
    /** Holds a request; resolves with the reason for which the hold ended. */
    hold: ({ startedAt, deadlineMs = Infinity, bytes, signal }: HeldRequest): Promise<HoldEnd> => {
      const holdMs = startedAt + Math.min(maxHoldMs, deadlineMs * maxHoldShare) - clock.monotonic();
      if (stopSignal.aborted) return Promise.resolve('stopping');
      if (signal.aborted) return Promise.resolve('callerLeft');
      if (holdMs <= 0) return Promise.resolve('timeUp');
      if (waiters.size >= maxCount || heldBytes + bytes > maxBytes) return Promise.resolve('full');
      heldBytes += bytes;
      return new Promise((resolve) => {
        const abort = (): void => waiter.end('callerLeft');
        const cancelTimer = clock.startTimer(holdMs, () => waiter.end('timeUp'));
        const waiter: Waiter = {
          deadlineAt: startedAt + deadlineMs,
          end: (reason) => {
            waiters.delete(waiter);
            heldBytes -= bytes;
            cancelTimer();
            signal.removeEventListener('abort', abort);
            resolve(reason);
          },
        };
        waiters.add(waiter);
        signal.addEventListener('abort', abort, { once: true });
      });
    },
    /** Lets all requests go on, the one with the least time left first. */
    release: (): void => endAll('released'),
  };
}
