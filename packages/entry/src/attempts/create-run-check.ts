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

interface RunCheckOptions {
  clock: Clock;
  random: Random;
  propose: ControlClient['propose'];
  createId: <T extends Id<string>>() => T;
}

type KeptAnswer = NonNullable<RecordView['answer']>;

const retryAfterMs = 1_000;

/**
 * Makes the check behind "not run" for requests with an idempotency key. An agent's refusal speaks
 * of one attempt only; an earlier send under the same key may have run.
 */
export function createRunCheck(options: RunCheckOptions) {
  const confirmed = new WeakSet<Error>();

  /** Asks the log whether the key has run; resolves with a kept answer, or throws a true refusal. */
  const resolve = async (request: ParsedRequest, error: unknown): Promise<KeptAnswer> => {
    if (request.idempotent || !(error instanceof RelayError) || !error.notRun) throw error;
    const attemptId = options.createId<AttemptId>();
    const { isVoided, record } = await voidAttempt(options, request, attemptId);
    // An expired record no longer has the hash of its body.
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

  /** Whether "not run" of this error holds for all requests under the caller's key. */
  const isCertain = (error: unknown, idempotencyKey: string | undefined): boolean => {
    if (!(error instanceof RelayError)) return false;
    const isCallersFault = error.code < ResultCode.accountLimit;
    return idempotencyKey === undefined || isCallersFault || confirmed.has(error);
  };

  return { resolve, isCertain };
}
