import { RelayError, ResultCode } from '@vanillarelay/core';

const maxKeyLength = 255;

/** Returns the idempotency key that a non-idempotent request must have; throws if it is invalid. */
export function parseIdempotencyKey(key: string | undefined, kind: string): string {
  if (key === undefined || key === '') {
    throw new RelayError(
      ResultCode.missingIdempotencyKey,
      `requests of kind '${kind}' need an Idempotency-Key header`,
      { notRun: true },
    );
  }
  if (key.length > maxKeyLength) {
    throw new RelayError(
      ResultCode.malformedRequest,
      `Idempotency-Key has ${key.length} characters, at most ${maxKeyLength} are allowed`,
      { notRun: true },
    );
  }
  return key;
}
