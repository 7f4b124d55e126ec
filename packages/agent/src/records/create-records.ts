import {
  RelayError,
  ResultCode,
  type Clock,
  type Command,
  type CommandResult,
  type DispatchRequest,
  type EndpointId,
  type Id,
  type Random,
  type Timeline,
} from '@vanillarelay/core';
import type { Claim } from './claim.js';
import { createProposer } from './create-proposer.js';
import { parseClaimResult } from './parse-claim-result.js';

type RecordCommand = Extract<Command, { type: 'claim' | 'complete' | 'abandon' }>;

interface RecordsOptions {
  id: EndpointId;
  incarnation: number;
  clock: Clock;
  random: Random;
  timeline: Timeline;
  createId: <T extends Id<string>>() => T;
  propose: Parameters<typeof createProposer>[0]['propose'];
}

const initialDelayMs = 50;
const maxDelayMs = 1_000;
/** Maximum time of a claim: covers a leader failure and an election; then the caller may retry. */
const claimTimeoutMs = 5_000;
const retryAfterMs = 1_000;
/** A larger answer is not stored in the record. */
const answerLimitBytes = 64 * 1024;

/** Creates the client for the records of non-idempotent requests, which are in control's log. */
export function createRecords(options: RecordsOptions) {
  const { id, incarnation, clock, random, timeline, createId } = options;
  const propose = createProposer(options);
  let unfinished = 0;

  /** Proposes until control replies; throws `noQuorum` with the last error after `limitAt`. */
  const retry = async (
    command: RecordCommand,
    limitAt: number,
    signal?: AbortSignal,
  ): Promise<CommandResult> => {
    let delayMs = initialDelayMs;
    let mayBeAccepted = false;
    for (;;) {
      try {
        return await propose(command);
      } catch (error) {
        mayBeAccepted ||= !(error instanceof RelayError && error.notRun);
        await clock.wait(delayMs * (0.5 + random()), signal);
        delayMs = Math.min(maxDelayMs, delayMs * 2);
        if (signal?.aborted || clock.monotonic() >= limitAt) {
          throw new RelayError(ResultCode.noQuorum, 'control did not answer', {
            notRun: !mayBeAccepted,
            retryAfterMs,
            cause: error,
          });
        }
      }
    }
  };

  /** Proposes without a time limit until control replies. */
  const proposeUntilAnswered = async (command: RecordCommand): Promise<void> => {
    unfinished += 1;
    try {
      const result = await retry(command, Number.POSITIVE_INFINITY);
      if (!result.ok) timeline.record('record.refused', { type: command.type, code: result.code });
    } finally {
      unfinished -= 1;
    }
  };

  const buildGrant = (request: DispatchRequest, nonce: string): Claim => {
    const key = buildKey(request);
    return {
      granted: true,
      complete: ({ status, contentType, body }) =>
        proposeUntilAnswered({
          type: 'complete',
          ...key,
          nonce,
          status,
          contentType,
          ...(body && body.length <= answerLimitBytes
            ? { answer: Buffer.from(body).toString('base64') }
            : {}),
        }),
      abandon: (ran) => proposeUntilAnswered({ type: 'abandon', ...key, nonce, ran }),
    };
  };

  /** Abandons a claim that control may have accepted; its nonce is unused, so nothing has run. */
  const abandonUnknown = (request: DispatchRequest, nonce: string): void => {
    void proposeUntilAnswered({ type: 'abandon', ...buildKey(request), nonce, ran: false });
  };

  /** Claims the right to run; after a rejection with `notRun: true` this attempt never runs. */
  const claim = async (
    request: DispatchRequest,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<Claim> => {
    const nonce = createId<Id<'Nonce'>>();
    const limitAt = Math.min(deadlineAt, clock.monotonic() + claimTimeoutMs);
    let result: CommandResult;
    try {
      const command = buildClaim(request, nonce, { endpoint: id, incarnation });
      result = await retry(command, limitAt, signal);
    } catch (error) {
      const isUnknown = !(error instanceof RelayError && error.notRun);
      if (isUnknown) abandonUnknown(request, nonce);
      throw buildClaimError(signal, clock.monotonic() >= deadlineAt, error);
    }
    if (result.ok) return buildGrant(request, nonce);
    const record = parseClaimResult(result);
    if (!record || attemptCodes.includes(result.code)) throw buildClaimRefusal(result);
    return { granted: false, record };
  };

  return { claim, countUnfinished: () => unfinished };
}

function buildKey({ account, idempotencyKey }: DispatchRequest) {
  return { account, key: idempotencyKey ?? '' };
}

function buildClaim(
  request: DispatchRequest,
  nonce: string,
  executor: { endpoint: EndpointId; incarnation: number },
): RecordCommand {
  const { bodyHash, attemptId } = request;
  return { type: 'claim', ...buildKey(request), bodyHash, attemptId, ...executor, nonce };
}

function buildClaimError(signal: AbortSignal, isLate: boolean, cause: unknown): RelayError {
  // The nonce of this execution is dropped here, so the attempt can never run.
  const options = { notRun: true, retryAfterMs, cause };
  if (signal.aborted) return new RelayError(ResultCode.cancelled, 'caller left', options);
  if (isLate)
    return new RelayError(ResultCode.deadlineExceeded, 'deadline passed while claiming', options);
  return new RelayError(ResultCode.noQuorum, 'control did not confirm the claim', options);
}

/** Codes that refuse this attempt, even if the result contains a record. */
const attemptCodes: ResultCode[] = [
  ResultCode.idempotencyKeyReused,
  ResultCode.attemptVoided,
  ResultCode.recordExpired,
];

/** Codes with which a claim is refused although an earlier run may have happened. */
const mayHaveRunCodes: ResultCode[] = [
  ResultCode.outcomeUnknown,
  ResultCode.alreadyRunning,
  ResultCode.answerNotKept,
  ResultCode.recordExpired,
];

function buildClaimRefusal({ code, message }: Extract<CommandResult, { ok: false }>): RelayError {
  return new RelayError(code, message, { notRun: !mayHaveRunCodes.includes(code), retryAfterMs });
}
