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
import type { Marks } from '../suspects/marks.js';
import { createOnceRunner } from './create-once-runner.js';
import type { RunResult } from './run-result.js';

interface DispatcherOptions extends Omit<Parameters<typeof createOnceRunner>[0], 'admit'> {
  service: ServiceId;
  clock: Clock;
  gate: Gate;
  admission: Admission;
  directory: ChatDirectory;
  marks: Marks;
  estimate: ReturnType<typeof createRecomputeEstimate>;
  readLimit: () => number;
}

const longestChatWaitMs = 5_000;
/** Until the running requests have ended; a suspect that never runs is never cleared. */
const suspectWaitMs = 5_000;
const suspectRetryMs = 60_000;

/** Makes the agent's decision on a dispatch: refuse it, replay an answer, or run it. */
export function createDispatcher(options: DispatcherOptions) {
  const { service, clock, gate, admission, directory, marks, estimate, executor } = options;
  let meanRunMs = 0;

  /** A chat held here may wait for as long as its prompt would take to compute elsewhere. */
  const computePatience = (request: DispatchRequest): number => {
    if (marks.find(request.fingerprint) === 'suspect') return suspectWaitMs;
    if (request.patienceMs !== undefined) return request.patienceMs;
    const held = request.takeOver ? undefined : directory.findHeld(request);
    if (!held) return 0;
    const recomputeMs = estimate.estimate(held.tokens);
    const places = admission.countWaiting() + 1;
    const waitMs = (places * meanRunMs) / Math.max(1, options.readLimit());
    if (waitMs > recomputeMs) return 0;
    return Math.min(longestChatWaitMs, recomputeMs);
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
        patienceMs: computePatience(request),
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

  const onceRunner = createOnceRunner({ ...options, admit });

  const checkRequest = (request: DispatchRequest): void => {
    if (request.service !== service) {
      throw refuse(ResultCode.unknownService, `endpoint does not serve '${request.service}'`);
    }
    if (!request.idempotent && !request.idempotencyKey) {
      throw refuse(ResultCode.missingIdempotencyKey, 'request needs an idempotency key');
    }
    gate.checkOpen();
  };

  const run = async (request: DispatchRequest, signal: AbortSignal): Promise<RunResult> => {
    const deadlineAt = clock.monotonic() + request.remainingMs;
    checkRequest(request);
    const mark = marks.find(request.fingerprint);
    if (mark && !request.idempotent) {
      const replayed = await onceRunner.replay(request, deadlineAt, signal);
      if (replayed) return replayed;
    }
    if (mark === 'convicted') {
      throw refuse(ResultCode.crashConvicted, 'request crashes its endpoint', suspectRetryMs);
    }
    if (mark && !request.idempotent) {
      throw refuse(ResultCode.crashSuspect, 'request may crash its endpoint', suspectRetryMs);
    }
    directory.checkHere(request);
    if (!request.idempotent) return onceRunner.run(request, deadlineAt, signal);
    const release = await admit(request, deadlineAt, signal);
    return executor.run({ request, signal, release });
  };

  return { run };
}

function refuse(code: ResultCode, message: string, retryAfterMs = 0): RelayError {
  return new RelayError(code, message, { notRun: true, retryAfterMs });
}
