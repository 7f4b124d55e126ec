import type { Clock } from '@vanillarelay/core';
import { createWaitingPolls } from './create-waiting-polls.js';

interface HeldCallsOptions {
  clock: Clock;
  /** Whether calls can be answered now. */
  canAnswer: () => boolean;
}

const checkIntervalMs = 10;
/** Longest hold, whatever a message asks for. */
const maxHoldMs = 500;

/**
 * Creates the calls that a daemon holds until it can answer them, so that their senders need not
 * come back. One timer checks for all of them, and only while there are some.
 */
export function createHeldCalls({ clock, canAnswer }: HeldCallsOptions) {
  const polls = createWaitingPolls(clock);
  let count = 0;
  let isChecking = false;

  const check = (): void => {
    isChecking = false;
    if (count === 0) return;
    if (canAnswer()) polls.wake();
    else scheduleCheck();
  };
  const scheduleCheck = (): void => {
    if (isChecking) return;
    isChecking = true;
    clock.startTimer(checkIntervalMs, check);
  };

  return {
    /** Resolves once calls can be answered, but after `ms` milliseconds at the latest. */
    wait: async (ms: unknown): Promise<void> => {
      if (typeof ms !== 'number' || !(ms > 0) || canAnswer()) return;
      count += 1;
      scheduleCheck();
      await polls.wait(Math.min(ms, maxHoldMs));
      count -= 1;
    },
  };
}
