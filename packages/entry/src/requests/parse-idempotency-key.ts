import { RelayError, ResultCode } from '@vanillarelay/core';

const longestKey = 255;

/** The idempotency key of a request; kinds that are not idempotent need one. */
export function parseIdempotencyKey(key: string | undefined, kind: string): string {
  if (key === undefined || key === '') {
    throw new RelayError(
      ResultCode.missingIdempotencyKey,
      `requests of kind '${kind}' need an Idempotency-Key header`,
      { notRun: true },
    );
  }
  if (key.length > longestKey) {
    throw new RelayError(
      ResultCode.malformedRequest,
      `Idempotency-Key has ${key.length} characters, at most ${longestKey} are allowed`,
      { notRun: true },
    );
  }
  return key;
}
