import {
  RelayError,
  ResultCode,
  type Clock,
  type DispatchRequest,
  type EndpointId,
  type Member,
  type RecordView,
} from '@vanillarelay/core';
import type { Claim } from '../records/claim.js';
import type { Records } from '../records/records.js';
import { buildReplay } from './build-replay.js';
import type { Executor } from './executor.js';
import type { RunResult } from './run-result.js';

interface OnceRunnerOptions {
  id: EndpointId;
  incarnation: number;
  clock: Clock;
  records: Records;
  executor: Executor;
  /** Waits for a slot; every rejection is `notRun: true`. */
  admit: (request: DispatchRequest, deadlineAt: number, signal: AbortSignal) => Promise<() => void>;
  findMember: (id: string) => Member | undefined;
}

const firstPollMs = 250;
const longestPollMs = 2_000;
/** An endpoint missing for this long in the view is gone, and with it the answer. */
const missingLimitMs = 4_000;
const retryAfterMs = 1_000;

/** Makes the part that runs non-idempotent requests at most once, by claims in the replicated log. */
export function createOnceRunner(options: OnceRunnerOptions) {
  const { id, incarnation, clock, records, executor, admit, findMember } = options;
  /** Runs of this agent by record, until their outcome is in the log. */
  const running = new Map<string, Promise<void>>();

  const runGranted = async (
    request: DispatchRequest,
    claim: Extract<Claim, { granted: true }>,
    release: () => void,
    signal: AbortSignal,
  ): Promise<RunResult> => {
    const key = buildKey(request);
    let handleOutcome = () => {};
    running.set(
      key,
      new Promise((resolve) => {
        handleOutcome = resolve;
      }),
    );
    const withOutcome = (outcome: Promise<void>) =>
      outcome.finally(() => {
        running.delete(key);
        handleOutcome();
      });
    const watched: typeof claim = {
      granted: true,
      complete: (answer) => withOutcome(claim.complete(answer)),
      abandon: (ran) => withOutcome(claim.abandon(ran)),
    };
    return executor.run({ request, signal, release, claim: watched });
  };

  /** Whether the run that the record tells of can still end. */
  const isAlive = (record: RecordView): boolean => {
    if (record.endpoint === undefined) return true;
    if (record.endpoint === id && record.incarnation === incarnation) return true;
    return findMember(record.endpoint)?.incarnation === record.incarnation;
  };

  /** Claims and admits once; undefined when another run is in progress. */
  const runOnce = async (
    request: DispatchRequest,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<RunResult | RecordView> => {
    const release = await admit(request, deadlineAt, signal);
    let claim: Claim;
    try {
      claim = await records.claim(request, deadlineAt, signal);
    } catch (error) {
      release();
      throw error;
    }
    if (claim.granted) {
      if (clock.monotonic() < deadlineAt) return runGranted(request, claim, release, signal);
      release();
      await executor.abandon(claim, false);
      throw buildLate();
    }
    release();
    return claim.record.status === 'running' ? claim.record : buildReplay(claim.record);
  };

  /** As `runOnce`; after an earlier run was seen, no refusal says that the request has not run. */
  const runAgain = async (
    request: DispatchRequest,
    deadlineAt: number,
    signal: AbortSignal,
    hasEarlier: boolean,
  ): Promise<RunResult | RecordView> => {
    try {
      return await runOnce(request, deadlineAt, signal);
    } catch (error) {
      throw hasEarlier ? toRanError(error) : error;
    }
  };

  /** Runs the request, or waits for the run in progress and replays its answer. */
  const run = async (
    request: DispatchRequest,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<RunResult> => {
    let pollMs = firstPollMs;
    let missingMs = 0;
    let record: RecordView | undefined;
    while (!signal.aborted && clock.monotonic() < deadlineAt) {
      const own = running.get(buildKey(request));
      if (own) {
        // The claim after the wait learns what the run came to.
        await waitAtMost(own, deadlineAt, signal);
        if (clock.monotonic() >= deadlineAt || signal.aborted) throw buildRunning();
      }
      const result = await runAgain(request, deadlineAt, signal, Boolean(own ?? record));
      if ('type' in result) return result;
      record = result;
      missingMs = isAlive(record) ? 0 : missingMs + pollMs;
      if (missingMs >= missingLimitMs) return buildReplay({ ...record, status: 'unknown' });
      await clock.wait(Math.min(pollMs, deadlineAt - clock.monotonic()), signal);
      pollMs = Math.min(longestPollMs, pollMs * 2);
    }
    throw record ? buildRunning() : buildLate();
  };

  const waitAtMost = (promise: Promise<void>, deadlineAt: number, signal: AbortSignal) =>
    Promise.race([promise, clock.wait(Math.max(0, deadlineAt - clock.monotonic()), signal)]);

  /** Tells what became of an earlier run without running the request. */
  const replay = async (
    request: DispatchRequest,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<RunResult | undefined> => {
    const claim = await records.claim(request, deadlineAt, signal);
    if (!claim.granted) return buildReplay(claim.record);
    await executor.abandon(claim, false);
    return undefined;
  };

  return { run, replay };
}

function buildKey({ account, idempotencyKey }: DispatchRequest): string {
  return `${account}\n${idempotencyKey}`;
}

/** Refusals that concern this attempt alone, whatever became of earlier ones. */
const ownCodes: ResultCode[] = [ResultCode.attemptVoided, ResultCode.idempotencyKeyReused];

/** A refusal of a resend: this attempt does not run, the request itself does or did. */
function toRanError(error: unknown): unknown {
  if (!(error instanceof RelayError) || !error.notRun) return error;
  if (ownCodes.includes(error.code)) return error;
  const { code, message } = error;
  return new RelayError(code, message, { notRun: false, retryAfterMs, cause: error });
}

function buildRunning(): RelayError {
  return new RelayError(ResultCode.alreadyRunning, 'an earlier attempt is still running', {
    retryAfterMs,
  });
}

function buildLate(): RelayError {
  return new RelayError(ResultCode.deadlineExceeded, 'deadline passed before the request ran', {
    notRun: true,
    retryAfterMs,
  });
}
