import { RelayError, ResultCode } from '@vanillarelay/core';

/** Converts the cause of an incomplete answer to the error that its reader receives. */
export function toStreamError(cause: unknown): RelayError {
  if (cause instanceof RelayError && cause.code !== ResultCode.connectionFailed) return cause;
  const message = cause instanceof Error ? cause.message : String(cause);
  return new RelayError(ResultCode.streamBroken, `answer broke off: ${message}`, { cause });
}
