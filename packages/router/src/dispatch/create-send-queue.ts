import type { LoopMonitor } from '../loop/loop-monitor.js';
import { compareUrgency } from './compare-urgency.js';
import type { Urgency } from './urgency.js';

interface Waiter extends Urgency {
  resolve: () => void;
}

/**
 * Sends that may follow each other before input is read again. It bounds the time for which a
 * disconnect that has arrived stays unnoticed.
 */
const maxSendsPerTurn = 8;

/**
 * Creates the queue in which requests wait until all input that had already arrived has been read,
 * such as the end of their callers' connections. Node delivers a request before the end of its
 * connection, and a timer before any input, so a router that is late would otherwise send requests
 * of callers that have left. When more wait than one turn sends, the most urgent go first, of these
 * the ones with the least time left; requests whose time is over are not sent and all pass.
 */
export function createSendQueue({ runAfterTurn }: Pick<LoopMonitor, 'runAfterTurn'>) {
  /** Requests that came in during the current turn; the input of a whole turn is still to be read. */
  let entering: Waiter[] = [];
  const waiting: Waiter[] = [];
  let isScheduled = false;

  const schedule = (): void => {
    if (isScheduled) return;
    isScheduled = true;
    runAfterTurn(run);
  };
  const takeReady = (): Waiter[] => {
    if (waiting.length <= maxSendsPerTurn) return waiting.splice(0);
    waiting.sort(compareUrgency);
    const overCount = waiting.filter(({ signal }) => signal.aborted).length;
    return waiting.splice(0, overCount + maxSendsPerTurn);
  };
  const run = (): void => {
    isScheduled = false;
    const ready = takeReady();
    waiting.push(...entering);
    entering = [];
    if (waiting.length > 0) schedule();
    ready.forEach(({ resolve }) => resolve());
  };

  return {
    /** Resolves when a request may be sent, unless its caller turns out to have left. */
    waitForTurn: (urgency: Urgency): Promise<void> =>
      new Promise((resolve) => {
        entering.push({ ...urgency, resolve });
        schedule();
      }),
  };
}
