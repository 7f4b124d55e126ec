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

/** Lines that are written per event and window; further ones are only counted. */
const maxLinesPerWindow = 20;
const windowMs = 1_000;
/** Bytes that are buffered for a slow reader; further lines are dropped. */
const maxBufferedBytes = 256 * 1024;

/**
 * Creates the structured log of a daemon. It never blocks: lines that the reader does not consume
 * in time are dropped. Each event has its own rate limit, so that a flood of one does not displace
 * the others.
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
    if (at - budget.at >= windowMs) {
      if (budget.dropped > 0)
        logger.warn({ event: 'log.dropped', of: event, lines: budget.dropped });
      Object.assign(budget, { at, written: 0, dropped: 0 });
    }
    if (budget.written >= maxLinesPerWindow) {
      budget.dropped += 1;
      return;
    }
    budget.written += 1;
    logger[isUrgent ? 'warn' : 'info']({ event, ...fields });
  };

  return {
    write,
    /** Counts the lines that were dropped because the reader was too slow. */
    countLost: () => lostLines,
    close: (): void => {
      try {
        destination.flushSync();
      } catch {
        // The reader has closed the output, so the error cannot be logged.
      }
    },
  };
}

function openOutput(): LogDestination {
  return pino.destination({ sync: false, maxLength: maxBufferedBytes });
}
