import type { EventEmitter } from 'node:events';
import { ResultCode, toExitCode, type Clock } from '@vanillarelay/core';
import type { Log } from '../log/log.js';

interface UnexpectedErrorOptions {
  /** The process, or a stand-in for it. */
  source: Pick<EventEmitter, 'on'>;
  clock: Pick<Clock, 'monotonic'>;
  log: Log;
  /** Ends the process. */
  exit: (code: number) => void;
}

/** Errors within the window after which the process exits, as its state may be damaged. */
const maxErrors = 50;
const windowMs = 10_000;

/**
 * Observes errors and rejections that nothing else handles. One of them concerns one request or
 * message, so the process goes on; it exits only when they come again and again.
 */
export function observeUnexpectedErrors(options: UnexpectedErrorOptions): void {
  const { source, clock, log, exit } = options;
  let times: number[] = [];
  const receive = (error: unknown, origin: string): void => {
    const at = clock.monotonic();
    times = [...times.filter((time) => at - time < windowMs), at];
    const { message, stack } = error instanceof Error ? error : new Error(String(error));
    log.write('process.unexpectedError', { origin, reason: message, stack }, true);
    if (times.length <= maxErrors) return;
    log.write('process.failing', { errors: times.length, windowMs }, true);
    log.close();
    exit(toExitCode(ResultCode.internal));
  };
  source.on('uncaughtException', receive);
  source.on('unhandledRejection', (reason) => receive(reason, 'unhandledRejection'));
}
