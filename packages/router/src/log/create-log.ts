import { pino, type DestinationStream, type Logger } from 'pino';
import type { LogEvent } from './log-event.js';

interface LogOptions {
  process: string;
  monotonic: () => number;
  /** Where the lines go; standard output by default. */
  destination?: LogDestination;
}

interface LogDestination extends DestinationStream {
  on(event: 'drop', listener: () => void): unknown;
  flushSync(): void;
}

/** Lines a second that are written for each event; the rest are counted. */
const linesPerS = 20;
const reportMs = 1_000;
/** Bytes that wait for a slow reader; further lines are dropped. */
const maxBufferedBytes = 256 * 1024;

/**
 * Makes the structured log of a daemon. It never blocks: what a reader does not take in time is
 * dropped, and each kind of event has a budget, so that a flood of one leaves room for the others.
 */
export function createLog({ process, monotonic, destination = openOutput() }: LogOptions) {
  let lostLines = 0;
  destination.on('drop', () => {
    lostLines += 1;
  });
  const logger: Logger = pino({ base: { process } }, destination);
  const budgets = new Map<string, { at: number; written: number; dropped: number }>();

  const write = (event: LogEvent, fields: object = {}, isUrgent = false): void => {
    const at = monotonic();
    const budget = budgets.get(event) ?? { at, written: 0, dropped: 0 };
    budgets.set(event, budget);
    if (at - budget.at >= reportMs) {
      if (budget.dropped > 0)
        logger.warn({ event: 'log.dropped', of: event, lines: budget.dropped });
      Object.assign(budget, { at, written: 0, dropped: 0 });
    }
    if (budget.written >= linesPerS) {
      budget.dropped += 1;
      return;
    }
    budget.written += 1;
    logger[isUrgent ? 'warn' : 'info']({ event, ...fields });
  };

  return {
    write,
    /** Lines that a slow reader lost. */
    countLost: () => lostLines,
    close: (): void => {
      try {
        destination.flushSync();
      } catch {
        // The reader is gone; there is nowhere left to say so.
      }
    },
  };
}

function openOutput(): LogDestination {
  return pino.destination({ sync: false, maxLength: maxBufferedBytes });
}
