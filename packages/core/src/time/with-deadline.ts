import { RelayError } from '../errors/relay-error.js';
import { ResultCode } from '../errors/result-code.js';
import type { Clock } from './clock.js';

/** Runs a task with a signal that aborts after `ms`; rejects with `timeout` at that time. */
export async function withDeadline<T>(
  clock: Clock,
  ms: number,
  run: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const controller = new AbortController();
  let cancelTimer = () => {};
  const timeout = new Promise<never>((_, reject) => {
    cancelTimer = clock.startTimer(ms, () => {
      reject(new RelayError(ResultCode.timeout, `no answer within ${ms} ms`));
      controller.abort();
    });
  });
  try {
    return await Promise.race([run(controller.signal), timeout]);
  } finally {
    cancelTimer();
  }
}
