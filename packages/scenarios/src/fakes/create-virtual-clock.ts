import { setImmediate as waitForTurn } from 'node:timers/promises';
import type { Clock } from '@vanillarelay/core';
import TinyQueue from 'tinyqueue';
import type { VirtualProcess } from './virtual-process.js';

interface Timer {
  /** Monotonic time at which the timer falls due, in milliseconds. */
  at: number;
  /** Number of the timer; timers due at the same time fire in this order. */
  order: number;
  isCancelled: boolean;
  callback: () => void;
}

interface VirtualClockOptions {
  /** Wall time at the start, in milliseconds since the epoch. */
  startAt?: number;
}

const defaultStartAt = 1_700_000_000_000;

/** Creates a clock that advances only in `run` and `runUntil`, and processes that share it. */
export function createVirtualClock({ startAt = defaultStartAt }: VirtualClockOptions = {}) {
  const timers = new TinyQueue<Timer>([], (a, b) => a.at - b.at || a.order - b.order);
  let elapsed = 0;
  let order = 0;

  const startTimer = (ms: number, callback: () => void): (() => void) => {
    order += 1;
    const timer = { at: elapsed + Math.max(0, ms), order, isCancelled: false, callback };
    timers.push(timer);
    return () => {
      timer.isCancelled = true;
    };
  };

  const takeNextDue = (until: number): Timer | undefined => {
    while (timers.peek()?.isCancelled) timers.pop();
    const next = timers.peek();
    return next && next.at <= until ? timers.pop() : undefined;
  };

  /** Advances the clock by `ms` milliseconds and runs the timers that fall due. */
  const run = async (ms: number): Promise<void> => {
    const until = elapsed + ms;
    await waitForTurn();
    for (let timer = takeNextDue(until); timer; timer = takeNextDue(until)) {
      elapsed = Math.max(elapsed, timer.at);
      timer.callback();
      await waitForTurn();
    }
    elapsed = until;
  };

  /** Runs timers until the promise settles; throws if it has not after `limitMs` milliseconds. */
  const runUntil = async <T>(promise: Promise<T>, limitMs = 600_000): Promise<T> => {
    let isSettled = false;
    promise.then(
      () => {
        isSettled = true;
      },
      () => {
        isSettled = true;
      },
    );
    const until = elapsed + limitMs;
    await waitForTurn();
    while (!isSettled) {
      const timer = takeNextDue(until);
      if (!timer) throw new Error(`promise did not settle within ${limitMs} ms of virtual time`);
      elapsed = Math.max(elapsed, timer.at);
      timer.callback();
      await waitForTurn();
    }
    return promise;
  };

  const clock: Clock = createClock(startTimer, () => elapsed, startAt);

  /** Creates a process whose wall clock is `offsetMs` milliseconds ahead. */
  const createProcess = (id: string, offsetMs = 0): VirtualProcess => {
    const killListeners = new Set<() => void>();
    let status: 'running' | 'frozen' | 'killed' = 'running';
    let deferred: (() => void)[] = [];
    const runOrDefer = (callback: () => void) => () => {
      if (status === 'running') callback();
      else if (status === 'frozen') deferred.push(callback);
    };
    return {
      id,
      clock: createClock(
        (ms, callback) => {
          const runTimer = runOrDefer(callback);
          let isCancelled = false;
          const cancel = startTimer(ms, () => !isCancelled && runTimer());
          return () => {
            isCancelled = true;
            cancel();
          };
        },
        () => elapsed,
        startAt + offsetMs,
      ),
      isAlive: () => status !== 'killed',
      waitUntilRunning: () =>
        new Promise((resolve) => {
          runOrDefer(resolve)();
        }),
      freeze: () => {
        if (status === 'running') status = 'frozen';
      },
      resume: () => {
        if (status !== 'frozen') return;
        status = 'running';
        const callbacks = deferred;
        deferred = [];
        callbacks.forEach((callback) => callback());
      },
      kill: () => {
        status = 'killed';
        deferred = [];
        killListeners.forEach((listener) => listener());
      },
      observeKill: (listener) => {
        killListeners.add(listener);
        return () => killListeners.delete(listener);
      },
    };
  };

  return { clock, run, runUntil, createProcess };
}

function createClock(
  startTimer: Clock['startTimer'],
  readElapsed: () => number,
  startAt: number,
): Clock {
  return {
    now: () => startAt + readElapsed(),
    monotonic: readElapsed,
    startTimer,
    wait: (ms, signal) =>
      new Promise((resolve) => {
        if (signal?.aborted) {
          resolve();
          return;
        }
        let cancel = () => {};
        const wake = () => {
          cancel();
          signal?.removeEventListener('abort', wake);
          resolve();
        };
        cancel = startTimer(ms, wake);
        signal?.addEventListener('abort', wake, { once: true });
      }),
  };
}
