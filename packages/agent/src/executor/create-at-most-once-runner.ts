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

interface AtMostOnceRunnerOptions {
  id: EndpointId;
  incarnation: number;
  clock: Clock;
  records: Records;
  executor: Executor;
  /** Waits for a slot; every rejection is `notRun: true`. */
  admit: (request: DispatchRequest, deadlineAt: number, signal: AbortSignal) => Promise<() => void>;
  findMember: (id: string) => Member | undefined;
}

const initialPollMs = 250;
const maxPollMs = 2_000;
/** An endpoint missing from the view for this long is treated as gone, and its answer as lost. */
const missingTimeoutMs = 4_000;
const retryAfterMs = 1_000;

/** Creates the runner of non-idempotent requests: a claim in the log lets each run at most once. */
export function createAtMostOnceRunner(options: AtMostOnceRunnerOptions) {
  const { id, incarnation, clock, records, executor, admit, findMember } = options;
  /** Runs of this agent by record key, each until its outcome is in the log. */
  const running = new Map<string, Promise<void>>();

  const runGranted = async (
    request: DispatchRequest,
    claim: Extract<Claim, { granted: true }>,
    release: () => void,
    signal: AbortSignal,
  ): Promise<RunResult> => {
    const key = buildKey(request);
    let resolveOutcome = () => {};
    running.set(
      key,
      new Promise((resolve) => {
        resolveOutcome = resolve;
      }),
    );
    const settleRun = (outcome: Promise<void>) =>
      outcome.finally(() => {
        running.delete(key);
        resolveOutcome();
      });
    const trackedClaim: typeof claim = {
      granted: true,
      complete: (answer) => settleRun(claim.complete(answer)),
      abandon: (ran) => settleRun(claim.abandon(ran)),
    };
    return executor.run({ request, signal, release, claim: trackedClaim });
  };

  /** Whether the endpoint that runs the recorded request may still complete it. */
  const isExecutorAlive = (record: RecordView): boolean => {
    if (record.endpoint === undefined) return true;
    if (record.endpoint === id && record.incarnation === incarnation) return true;
    return findMember(record.endpoint)?.incarnation === record.incarnation;
  };

  /** Waits for a slot, claims and runs; returns the record when another run is in progress. */
  const claimAndRun = async (
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
      throw buildDeadlineError();
    }
    release();
    return claim.record.status === 'running' ? claim.record : buildReplay(claim.record);
  };

  /** Calls `claimAndRun`; if there is an earlier run, clears `notRun` of refusals. */
  const runAttempt = async (
    request: DispatchRequest,
    deadlineAt: number,
    signal: AbortSignal,
    hasEarlierRun: boolean,
  ): Promise<RunResult | RecordView> => {
    try {
      return await claimAndRun(request, deadlineAt, signal);
    } catch (error) {
      throw hasEarlierRun ? clearNotRun(error) : error;
    }
  };

  /** Runs the request, or waits for the run in progress and replays its answer. */
  const run = async (
    request: DispatchRequest,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<RunResult> => {
    let pollMs = initialPollMs;
    let missingMs = 0;
    let record: RecordView | undefined;
    while (!signal.aborted && clock.monotonic() < deadlineAt) {
      const localRun = running.get(buildKey(request));
      if (localRun) {
        // The claim after the wait finds the outcome of that run.
        await waitAtMost(localRun, deadlineAt, signal);
        if (clock.monotonic() >= deadlineAt || signal.aborted) throw buildAlreadyRunningError();
      }
      const result = await runAttempt(request, deadlineAt, signal, Boolean(localRun ?? record));
      if ('type' in result) return result;
      record = result;
      missingMs = isExecutorAlive(record) ? 0 : missingMs + pollMs;
      if (missingMs >= missingTimeoutMs) return buildReplay({ ...record, status: 'unknown' });
      await clock.wait(Math.min(pollMs, deadlineAt - clock.monotonic()), signal);
      pollMs = Math.min(maxPollMs, pollMs * 2);
    }
    throw record ? buildAlreadyRunningError() : buildDeadlineError();
  };

  const waitAtMost = (promise: Promise<void>, deadlineAt: number, signal: AbortSignal) =>
    Promise.race([promise, clock.wait(Math.max(0, deadlineAt - clock.monotonic()), signal)]);

  /** Replays an earlier run, but never runs the request; undefined if there is no earlier run. */
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

/** Codes that refuse this attempt alone, whatever the outcome of earlier ones. */
const attemptCodes: ResultCode[] = [ResultCode.attemptVoided, ResultCode.idempotencyKeyReused];

/** Clears `notRun` on the refusal of a resend, as an earlier attempt of the request runs or ran. */
function clearNotRun(error: unknown): unknown {
  if (!(error instanceof RelayError) || !error.notRun) return error;
  if (attemptCodes.includes(error.code)) return error;
  const { code, message } = error;
  return new RelayError(code, message, { notRun: false, retryAfterMs, cause: error });
}

function buildAlreadyRunningError(): RelayError {
  return new RelayError(ResultCode.alreadyRunning, 'an earlier attempt is still running', {
    retryAfterMs,
  });
}

function buildDeadlineError(): RelayError {
  return new RelayError(ResultCode.deadlineExceeded, 'deadline passed before the request ran', {
    notRun: true,
    retryAfterMs,
  });
}
