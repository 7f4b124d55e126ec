import type { Clock } from '@vanillarelay/core';

/** Polls that are released in one turn of the event loop. */
const pollsPerTurn = 4;

/**
 * Creates the set of polls that wait for a change. A change releases them in later turns, some in
 * each, so that their replies do not delay the acknowledgement of the change.
 */
export function createWaitingPolls(clock: Clock) {
  const waiting = new Set<() => void>();
  const due = new Set<() => void>();
  let isScheduled = false;

  const releaseSome = (): void => {
    [...due].slice(0, pollsPerTurn).forEach((release) => {
      due.delete(release);
      release();
    });
    isScheduled = false;
    scheduleRelease();
  };

  const scheduleRelease = (): void => {
    if (isScheduled || due.size === 0) return;
    isScheduled = true;
    clock.startTimer(0, releaseSome);
  };

  return {
    /** Waits until a change releases this poll, but at most `ms` milliseconds. */
    wait: async (ms: number): Promise<void> => {
      const wakeup = new AbortController();
      const release = () => wakeup.abort();
      waiting.add(release);
      await clock.wait(ms, wakeup.signal);
      waiting.delete(release);
      due.delete(release);
    },
    /** Releases the polls that wait now. */
    wake: (): void => {
      waiting.forEach((release) => due.add(release));
      waiting.clear();
      scheduleRelease();
    },
  };
}
