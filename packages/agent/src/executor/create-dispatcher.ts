import {
  RelayError,
  ResultCode,
  type Clock,
  type DispatchRequest,
  type ServiceId,
} from '@vanillarelay/core';
import type { Admission } from '../admission/admission.js';
import type { Gate } from '../admission/gate.js';
import type { ChatDirectory } from '../directory/chat-directory.js';
import type { createRecomputeEstimate } from '../directory/create-recompute-estimate.js';
import type { CrashMarks } from '../suspects/crash-marks.js';
import { createAtMostOnceRunner } from './create-at-most-once-runner.js';
import type { RunResult } from './run-result.js';

interface DispatcherOptions extends Omit<Parameters<typeof createAtMostOnceRunner>[0], 'admit'> {
  service: ServiceId;
  clock: Clock;
  gate: Gate;
  admission: Admission;
  directory: ChatDirectory;
  marks: CrashMarks;
  recomputeEstimate: ReturnType<typeof createRecomputeEstimate>;
  readLimit: () => number;
}

/** Maximum time in the queue for a request whose chat is held here. */
const maxChatWaitMs = 5_000;
/** Time in the queue for a suspect, which runs alone; one that never runs is never cleared. */
const suspectWaitMs = 5_000;
const suspectRetryAfterMs = 60_000;

/** Creates the dispatcher, which refuses a request, replays its answer or runs it. */
export function createDispatcher(options: DispatcherOptions) {
  const { service, clock, gate, admission, directory, marks, recomputeEstimate, executor } =
    options;
  /** Moving average of the time for which a request holds its slot. */
  let meanRunMs = 0;

  /** A request may wait for its chat's cache as long as the prompt takes to recompute elsewhere. */
  const computeMaxWaitMs = (request: DispatchRequest): number => {
    if (marks.find(request.fingerprint) === 'suspect') return suspectWaitMs;
    if (request.patienceMs !== undefined) return request.patienceMs;
    const heldChat = request.takeOver ? undefined : directory.findHeld(request);
    if (!heldChat) return 0;
    const recomputeMs = recomputeEstimate.estimateMs(heldChat.tokens);
    const queuePosition = admission.countWaiting() + 1;
    const waitMs = (queuePosition * meanRunMs) / Math.max(1, options.readLimit());
    if (waitMs > recomputeMs) return 0;
    return Math.min(maxChatWaitMs, recomputeMs);
  };

  const admit = async (
    request: DispatchRequest,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<() => void> => {
    const { account, priority, mustArrive, fingerprint } = request;
    const release = await admission.admit(
      {
        account,
        priority,
        mustArrive,
        deadlineAt,
        patienceMs: computeMaxWaitMs(request),
        exclusive: marks.find(fingerprint) === 'suspect',
      },
      signal,
    );
    const startedAt = clock.monotonic();
    return () => {
      const runMs = clock.monotonic() - startedAt;
      meanRunMs = meanRunMs === 0 ? runMs : meanRunMs + (runMs - meanRunMs) / 16;
      release();
    };
  };

  const atMostOnceRunner = createAtMostOnceRunner({ ...options, admit });

  const checkRequest = (request: DispatchRequest): void => {
    if (request.service !== service) {
      throw buildRefusal(ResultCode.unknownService, `endpoint does not serve '${request.service}'`);
    }
    if (!request.idempotent && !request.idempotencyKey) {
      throw buildRefusal(ResultCode.missingIdempotencyKey, 'request needs an idempotency key');
    }
    gate.checkOpen();
  };

  const run = async (request: DispatchRequest, signal: AbortSignal): Promise<RunResult> => {
    const deadlineAt = clock.monotonic() + request.remainingMs;
    checkRequest(request);
    const mark = marks.find(request.fingerprint);
    if (mark && !request.idempotent) {
      const replayed = await atMostOnceRunner.replay(request, deadlineAt, signal);
      if (replayed) return replayed;
    }
    if (mark === 'convicted') {
      throw buildRefusal(
        ResultCode.crashConvicted,
        'request crashes its endpoint',
        suspectRetryAfterMs,
      );
    }
    if (mark && !request.idempotent) {
      throw buildRefusal(
        ResultCode.crashSuspect,
        'request may crash its endpoint',
        suspectRetryAfterMs,
      );
    }
    directory.checkHolder(request);
    if (!request.idempotent) return atMostOnceRunner.run(request, deadlineAt, signal);
    const release = await admit(request, deadlineAt, signal);
    return executor.run({ request, signal, release });
  };

  return { run };
}

function buildRefusal(code: ResultCode, message: string, retryAfterMs = 0): RelayError {
  return new RelayError(code, message, { notRun: true, retryAfterMs });
}
