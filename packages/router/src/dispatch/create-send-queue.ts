import type { LoopMonitor } from '../loop/loop-monitor.js';

/**
 * Sends that may follow each other before input is read again. It bounds the time for which a
 * disconnect that has arrived stays unnoticed.
 */
const maxSendsPerTurn = 8;

/**
 * Creates the queue in which requests wait until all input that had already arrived has been read,
 * such as the end of their callers' connections. Node delivers a request before the end of its
 * connection, and a timer before any input, so a router that is late would otherwise send requests
 * of callers that have left.
 */
export function createSendQueue({ runAfterTurn }: Pick<LoopMonitor, 'runAfterTurn'>) {
  /** Requests that came in during the current turn; the input of a whole turn is still to be read. */
  let entering: (() => void)[] = [];
  const waiting: (() => void)[] = [];
  let isScheduled = false;

  const schedule = (): void => {
    if (isScheduled) return;
    isScheduled = true;
    runAfterTurn(run);
  };
  const run = (): void => {
    isScheduled = false;
    const ready = waiting.splice(0, maxSendsPerTurn);
    waiting.push(...entering);
    entering = [];
    if (waiting.length > 0) schedule();
    ready.forEach((resolve) => resolve());
  };

  return {
    /** Resolves when a request may be sent, unless its caller turns out to have left. */
    waitForTurn: (): Promise<void> =>
      new Promise((resolve) => {
        entering.push(resolve);
        schedule();
      }),
  };
}
