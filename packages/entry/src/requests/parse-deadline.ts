import { RelayError, ResultCode } from '@vanillarelay/core';

/** Returns the deadline of the request kind, or the caller's own if that is shorter. */
export function parseDeadline(header: string | undefined, kindDeadlineMs: number): number {
  if (header === undefined) return kindDeadlineMs;
  if (!/^[1-9]\d{0,9}$/.test(header)) {
    throw new RelayError(
      ResultCode.malformedRequest,
      `header x-deadline-ms is '${header}', expected a whole number of milliseconds above 0`,
      { notRun: true },
    );
  }
  return Math.min(kindDeadlineMs, Number(header));
}
