import {
  RelayError,
  ResultCode,
  type AttemptId,
  type Clock,
  type ControlClient,
  type Id,
  type Random,
  type RecordView,
} from '@vanillarelay/core';
import type { ParsedRequest } from '../requests/parsed-request.js';
import { voidAttempt } from './void-attempt.js';

interface NotRunCheckOptions {
  clock: Clock;
  random: Random;
  propose: ControlClient['propose'];
  createId: <T extends Id<string>>() => T;
}

type StoredAnswer = NonNullable<RecordView['answer']>;

const retryAfterMs = 1_000;

/**
 * Creates the check whether a refused request with an idempotency key has not run. An agent's
 * refusal covers one attempt only; an earlier request with the same key may have run.
 */
export function createNotRunCheck(options: NotRunCheckOptions) {
  const confirmed = new WeakSet<Error>();

  /**
   * Asks the replicated log whether any request with the key has run. Returns the stored answer if
   * there is one, and otherwise throws a refusal that applies to all requests with the key.
   */
  const resolve = async (request: ParsedRequest, error: unknown): Promise<StoredAnswer> => {
    if (request.idempotent || !(error instanceof RelayError) || !error.notRun) throw error;
    const attemptId = options.createId<AttemptId>();
    const { isVoided, record } = await voidAttempt(options, request, attemptId);
    // An expired record no longer has the body hash.
    if (record?.bodyHash && record.bodyHash !== request.bodyHash) {
      const message = 'the Idempotency-Key was used with another body';
      throw new RelayError(ResultCode.idempotencyKeyReused, message, { notRun: true });
    }
    if (record?.answer) return record.answer;
    if (isVoided && !record) {
      confirmed.add(error);
      throw error;
    }
    throw new RelayError(
      ResultCode.outcomeUnknown,
      `${error.message}; an earlier request under this Idempotency-Key has run or may have run`,
      { retryAfterMs: error.retryAfterMs ?? retryAfterMs },
    );
  };

  /** Whether `notRun` of the error applies to all requests with the caller's key. */
  const isNotRunCertain = (error: unknown, idempotencyKey: string | undefined): boolean => {
    if (!(error instanceof RelayError)) return false;
    const isCallersFault = error.code < ResultCode.accountLimit;
    return idempotencyKey === undefined || isCallersFault || confirmed.has(error);
  };

  return { resolve, isNotRunCertain };
}
