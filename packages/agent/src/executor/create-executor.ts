import {
  RelayError,
  ResultCode,
  type Clock,
  type DispatchRequest,
  type EndpointAnswer,
  type EndpointClient,
  type EndpointId,
  type Id,
  type StreamId,
  type Timeline,
} from '@vanillarelay/core';
import type { Gate } from '../admission/gate.js';
import type { WarmUp } from '../admission/warm-up.js';
import type { ChatDirectory } from '../directory/chat-directory.js';
import type { createRecomputeEstimate } from '../directory/create-recompute-estimate.js';
import type { Claim } from '../records/claim.js';
import { createAnswerStream } from '../streams/create-answer-stream.js';
import type { StreamTable } from '../streams/stream-table.js';
import type { Usage } from '../streams/usage.js';
import type { InFlight } from '../suspects/in-flight.js';
import { createAnswerRecorder } from './create-answer-recorder.js';
import { createCodec } from './create-codec.js';
import { openAnswer } from './open-answer.js';
import type { RunResult } from './run-result.js';

interface ExecutorOptions {
  id: EndpointId;
  clock: Clock;
  timeline: Timeline;
  createId: <T extends Id<string>>() => T;
  endpoint: EndpointClient;
  gate: Gate;
  warmUp: WarmUp;
  directory: ChatDirectory;
  streams: StreamTable;
  inFlight: InFlight;
  recomputeEstimate: ReturnType<typeof createRecomputeEstimate>;
  /** Called when a connection to the endpoint broke. */
  handleBrokenConnection: () => unknown;
  /** Called when a request has completed without an error. */
  handleSuccess: (request: DispatchRequest) => void;
}

type GrantedClaim = Extract<Claim, { granted: true }>;

interface Execution {
  request: DispatchRequest;
  signal: AbortSignal;
  /** Releases the slot. */
  release: () => void;
  /** Set for non-idempotent requests. */
  claim?: GrantedClaim;
}

/** HTTP status with which an engine refuses a request because it is cold or full. */
const overloadStatus = 503;
const abandonWaitMs = 2_000;
const retryAfterMs = 500;

/** Creates the executor, which runs admitted requests at the endpoint. */
export function createExecutor(options: ExecutorOptions) {
  const { id, clock, timeline, endpoint, gate, warmUp, directory, streams, inFlight } = options;

  /** Abandons a claim; waits up to `abandonWaitMs`, so that a retry finds the record free. */
  const abandon = async (claim: GrantedClaim | undefined, ran: boolean): Promise<void> => {
    if (claim) await Promise.race([claim.abandon(ran), clock.wait(abandonWaitMs)]);
  };

  const run = async (execution: Execution): Promise<RunResult> => {
    const { request, signal, release, claim } = execution;
    try {
      // Checked again, as the gate may have closed during the wait for the slot and the claim.
      gate.checkOpen();
      if (signal.aborted) throw buildCancelledError(true);
    } catch (error) {
      release();
      await abandon(claim, false);
      throw error;
    }
    const controller = new AbortController();
    const abort = () => controller.abort(buildCancelledError(false));
    // A claimed run is not cancelled: a partial run would have an unknown outcome.
    if (!claim) signal.addEventListener('abort', abort, { once: true });
    const inFlightRequest = {
      fingerprint: request.fingerprint,
      cancel: (e: RelayError) => controller.abort(e),
    };
    const removeInFlight = inFlight.add(inFlightRequest);
    const previousUseAt = directory.findHeld(request)?.usedAt;
    timeline.record('request.started', { service: request.service }, request.requestId);
    const start = { at: clock.monotonic(), round: warmUp.readRound(), previousUseAt };
    try {
      const answer = await openAnswer(endpoint, request, controller.signal);
      signal.removeEventListener('abort', abort);
      if (answer.status === overloadStatus) {
        warmUp.recordOverload(start.round);
        // A claimed request keeps the answer as its outcome: a 503 does not prove that nothing ran.
        if (!claim && gate.readService()?.type === 'model') throw await buildOverloadError(answer);
      }
      directory.recordRun(request);
      const running = { ...execution, controller, inFlightRequest, removeInFlight, start };
      return relayAnswer(running, answer);
    } catch (error) {
      signal.removeEventListener('abort', abort);
      const { notRun } = error as RelayError;
      const isBroken = !controller.signal.aborted;
      removeInFlight(isBroken && !notRun);
      release();
      if (isBroken) options.handleBrokenConnection();
      timeline.record('request.failed', { notRun }, request.requestId);
      await abandon(claim, !notRun);
      throw error;
    }
  };

  interface Running extends Execution {
    controller: AbortController;
    inFlightRequest: { cancel: (error: RelayError) => void };
    removeInFlight: (isBroken: boolean) => void;
    start: { at: number; round: number; previousUseAt: number | undefined };
  }

  const relayAnswer = (running: Running, answer: EndpointAnswer): RunResult => {
    const { request, signal, claim, start, controller } = running;
    const streamId = options.createId<StreamId>();
    const recorder = createAnswerRecorder();
    let usage: Usage | undefined;
    let firstByteMs: number | undefined;
    const codec = createCodec({
      answer,
      serviceType: gate.readService()?.type,
      idPrefix: `${id}.${streamId}`,
      method: request.method,
      reportUsage: (value) => {
        usage = value;
      },
    });
    const isResumable = request.resumable && codec.isEvents;
    const stream = createAnswerStream({
      clock,
      body: answer.body,
      codec,
      budget: streams.budget,
      resumable: isResumable,
      detached: claim !== undefined,
      cancelRun: () => controller.abort(buildCancelledError(false)),
      recordChunk: (chunk) => {
        firstByteMs ??= clock.monotonic() - start.at;
        if (claim) recorder.record(chunk);
      },
      handleEnd: (error) => {
        if (isResumable) streams.recordEnd(streamId);
        closeRun(running, error);
        recordMeasurements(running, {
          answer,
          usage,
          firstByteMs: firstByteMs ?? clock.monotonic() - start.at,
          error,
        });
        if (!claim) return;
        const { status, headers } = answer;
        void (error
          ? claim.abandon(true)
          : claim.complete({
              status,
              contentType: headers['content-type'] ?? '',
              body: recorder.readBody(),
            }));
      },
    });
    running.inFlightRequest.cancel = stream.cancel;
    if (isResumable) streams.add(streamId, stream);
    const { 'content-length': length, ...otherHeaders } = answer.headers;
    return {
      type: 'answer',
      status: answer.status,
      headers: codec.isEvents || length === undefined ? otherHeaders : answer.headers,
      ...(isResumable ? { streamId } : {}),
      body: stream.read(0, signal),
    };
  };

  const closeRun = (running: Running, error: RelayError | undefined): void => {
    const isBroken =
      error?.code === ResultCode.streamBroken || error?.code === ResultCode.endpointFailed;
    running.removeInFlight(isBroken);
    running.release();
    if (isBroken) options.handleBrokenConnection();
    const { requestId } = running.request;
    if (error) timeline.record('request.broken', { code: error.code }, requestId);
    else timeline.record('request.ended', {}, requestId);
  };

  const recordMeasurements = (
    { request, start }: Running,
    measurements: {
      answer: EndpointAnswer;
      usage: Usage | undefined;
      firstByteMs: number;
      error: RelayError | undefined;
    },
  ): void => {
    const { answer, usage, firstByteMs, error } = measurements;
    if (error) return;
    options.handleSuccess(request);
    if (answer.status < 500) warmUp.recordAnswer(firstByteMs, start.round);
    if (!usage) return;
    directory.recordUsage(request, usage, start.previousUseAt);
    options.recomputeEstimate.record(firstByteMs, usage.promptTokens - usage.cachedTokens);
  };

  return { run, abandon };
}

function buildCancelledError(notRun: boolean): RelayError {
  return new RelayError(ResultCode.cancelled, 'caller left', { notRun, retryAfterMs });
}

/** A full engine refuses before it runs anything, so another endpoint may run the request. */
async function buildOverloadError({ body }: EndpointAnswer): Promise<RelayError> {
  await body[Symbol.asyncIterator]().return?.();
  return new RelayError(ResultCode.endpointBusy, 'engine is overloaded', {
    notRun: true,
    retryAfterMs,
  });
}
