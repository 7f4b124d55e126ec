import { setImmediate as waitForTurn } from 'node:timers/promises';
import type { Clock } from '@vanillarelay/core';
import TinyQueue from 'tinyqueue';
import type { VirtualProcess } from './virtual-process.js';

interface Timer {
  at: number;
  order: number;
  isCancelled: boolean;
  callback: () => void;
}

interface VirtualClockOptions {
  /** Wall time at the start, in milliseconds since the epoch. */
  startAt?: number;
}

const defaultStartAt = 1_700_000_000_000;

/** Makes a clock that moves only when the test runs it, with processes that share it. */
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

  const takeNext = (until: number): Timer | undefined => {
    while (timers.peek()?.isCancelled) timers.pop();
    const next = timers.peek();
    return next && next.at <= until ? timers.pop() : undefined;
  };

  /** Runs everything that is due within the next `ms` milliseconds. */
  const run = async (ms: number): Promise<void> => {
    const until = elapsed + ms;
    await waitForTurn();
    for (let timer = takeNext(until); timer; timer = takeNext(until)) {
      elapsed = Math.max(elapsed, timer.at);
      timer.callback();
      await waitForTurn();
    }
    elapsed = until;
  };

  /** Runs until the promise settles, at most `limitMs` milliseconds. */
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
      const timer = takeNext(until);
      if (!timer) throw new Error(`nothing settled the promise within ${limitMs} virtual ms`);
      elapsed = Math.max(elapsed, timer.at);
      timer.callback();
      await waitForTurn();
    }
    return promise;
  };

  const clock: Clock = createClock(startTimer, () => elapsed, startAt);

  /** Makes a process; `offsetMs` is how far its wall clock is wrong. */
  const createProcess = (id: string, offsetMs = 0): VirtualProcess => {
    const killListeners = new Set<() => void>();
    let status: 'running' | 'frozen' | 'killed' = 'running';
    let held: (() => void)[] = [];
    const runOrHold = (callback: () => void) => () => {
      if (status === 'running') callback();
      else if (status === 'frozen') held.push(callback);
    };
    return {
      id,
      clock: createClock(
        (ms, callback) => {
          const guarded = runOrHold(callback);
          let isCancelled = false;
          const cancel = startTimer(ms, () => !isCancelled && guarded());
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
          runOrHold(resolve)();
        }),
      freeze: () => {
        if (status === 'running') status = 'frozen';
      },
      resume: () => {
        if (status !== 'frozen') return;
        status = 'running';
        const callbacks = held;
        held = [];
        callbacks.forEach((callback) => callback());
      },
      kill: () => {
        status = 'killed';
        held = [];
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
