import { RelayError, ResultCode, type Refusal } from '@vanillarelay/core';

const attemptLimit = 20_000;

/**
 * Makes the list of recent attempts, which detects duplicates: a dispatch that the network delivers
 * twice runs at most once, and one that was refused as not run is refused again.
 */
export function createRecentAttempts() {
  /** Undefined while the attempt is being handled or has run. */
  const attempts = new Map<string, Refusal | undefined>();

  /** Throws when the attempt was seen before. */
  const checkNew = (attempt: string): void => {
    if (attempts.has(attempt)) {
      const refusal = attempts.get(attempt);
      if (refusal) throw new RelayError(refusal.code, refusal.message, refusal);
      throw new RelayError(ResultCode.alreadyRunning, 'attempt was dispatched twice');
    }
    attempts.set(attempt, undefined);
    if (attempts.size > attemptLimit) attempts.delete(attempts.keys().next().value!);
  };

  const recordRefusal = (attempt: string, refusal: Refusal): void => {
    if (attempts.has(attempt)) attempts.set(attempt, refusal);
  };

  return { checkNew, recordRefusal };
}
