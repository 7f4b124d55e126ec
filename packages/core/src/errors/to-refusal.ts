import type { Refusal } from './refusal.js';
import { RelayError } from './relay-error.js';
import { ResultCode } from './result-code.js';

/** Converts an error to a refusal. After an unexpected error, the request may have run. */
export function toRefusal(error: unknown): Refusal {
  if (error instanceof RelayError) {
    return {
      code: error.code,
      message: error.message,
      notRun: error.notRun,
      ...(error.retryAfterMs === undefined ? {} : { retryAfterMs: error.retryAfterMs }),
      ...(error.holder === undefined ? {} : { holder: error.holder }),
      ...(error.leader === undefined ? {} : { leader: error.leader }),
    };
  }
  const message = error instanceof Error ? error.message : String(error);
  return { code: ResultCode.internal, message, notRun: false };
}
