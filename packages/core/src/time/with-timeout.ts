import { RelayError } from '../errors/relay-error.js';
import { ResultCode } from '../errors/result-code.js';
import type { Clock } from './clock.js';

/** Runs a task; after `ms` milliseconds, aborts its signal and rejects with `timeout`. */
export async function withTimeout<T>(
  clock: Clock,
  ms: number,
  run: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const controller = new AbortController();
  let cancelTimer = () => {};
  const timeout = new Promise<never>((_, reject) => {
    cancelTimer = clock.startTimer(ms, () => {
      reject(new RelayError(ResultCode.timeout, `no answer within ${Math.round(ms)} ms`));
      controller.abort();
    });
  });
  try {
    return await Promise.race([run(controller.signal), timeout]);
  } finally {
    cancelTimer();
  }
}
