import { RelayError, ResultCode, type Refusal } from '@vanillarelay/core';

const maxRememberedAttempts = 20_000;

/**
 * Creates the list of recent attempts, which detects duplicates: a dispatch that the network
 * delivers twice runs at most once, and one that was refused as not run is refused again.
 */
export function createRecentAttempts() {
  /** Refusals by attempt; undefined while the attempt is being handled or if it has run. */
  const attempts = new Map<string, Refusal | undefined>();

  /** Throws when the attempt was seen before. */
  const checkNew = (attempt: string): void => {
    if (attempts.has(attempt)) {
      const refusal = attempts.get(attempt);
      if (refusal) throw new RelayError(refusal.code, refusal.message, refusal);
      throw new RelayError(ResultCode.alreadyRunning, 'attempt was dispatched twice');
    }
    attempts.set(attempt, undefined);
    if (attempts.size > maxRememberedAttempts) attempts.delete(attempts.keys().next().value!);
  };

  const recordRefusal = (attempt: string, refusal: Refusal): void => {
    if (attempts.has(attempt)) attempts.set(attempt, refusal);
  };

  return { checkNew, recordRefusal };
}
