import {
  RelayError,
  ResultCode,
  toRefusal,
  type AccountId,
  type AgentClient,
  type Clock,
  type ControlClient,
  type DaemonState,
  type Hash,
  type Histograms,
  type Hlc,
  type Id,
  type Random,
  type RequestId,
  type Timeline,
} from '@vanillarelay/core';
import type { Link } from '@vanillarelay/link';
import { createAccountIndex } from './accounts/create-account-index.js';
import { createAccountLimiter } from './accounts/create-account-limiter.js';
import { createNotRunCheck } from './attempts/create-not-run-check.js';
import { createRunner } from './attempts/create-runner.js';
import { buildReplayedReply } from './build-replayed-reply.js';
import { buildProblem } from './build-problem.js';
import type { CallerReply } from './caller-reply.js';
import type { CallerRequest } from './caller-request.js';
import { placeReturningChat } from './placement/place-returning-chat.js';
import type { PlacementStrategy } from './placement/placement-strategy.js';
import type { ParsedRequest } from './requests/parsed-request.js';
import { parseRequest } from './requests/parse-request.js';
import { createStreamHandlers } from './streams/create-stream-handlers.js';
import { passAnswer } from './streams/pass-answer.js';

interface EntryOptions {
  clock: Clock;
  random: Random;
  hash: Hash;
  hlc: Hlc;
  timeline: Timeline;
  histograms: Histograms;
  createId: <T extends Id<string>>() => T;
  link: Pick<Link, 'readView' | 'readContact' | 'receiveVersion'>;
  openAgent: (address: string) => AgentClient;
  propose: ControlClient['propose'];
  /** How endpoints are chosen; benchmarks replace it to compare strategies. */
  place?: PlacementStrategy;
}

const notReadyRetryAfterMs = 1_000;

/** Creates an entry, which checks callers' requests and decides where they run. */
export function createEntry({ place = placeReturningChat, ...options }: EntryOptions) {
  const { clock, histograms, createId, link, openAgent } = options;
  const accounts = createAccountIndex();
  const limiter = createAccountLimiter({ clock });
  const { run, inFlightCalls } = createRunner({ ...options, place });
  const notRunCheck = createNotRunCheck(options);
  let isStopping = false;

  const isReady = (): boolean =>
    !isStopping && link.readView().state !== undefined && link.readContact() !== 'isolated';

  const readState = (): DaemonState => {
    const { state } = link.readView();
    if (state && link.readContact() !== 'isolated') return state;
    throw new RelayError(ResultCode.notReady, 'entry has no contact with control', {
      notRun: true,
      retryAfterMs: notReadyRetryAfterMs,
    });
  };

  /** Finds the account of a bearer key; throws a refusal for an unknown key. */
  const checkCaller = (authorization: string | undefined): AccountId => {
    const account = accounts.find(readState().config, authorization);
    if (account) return account;
    throw new RelayError(ResultCode.unauthorized, 'missing or unknown bearer key', {
      notRun: true,
    });
  };

  const streams = createStreamHandlers({
    link,
    openAgent,
    inFlightCalls,
    wrapAnswer: (headers, body, requestId, call) =>
      passAnswer({
        clock,
        requestId,
        headers,
        body,
        needsFinalEvent: false,
        recordChunk: () => {
          call.seenAt = clock.monotonic();
        },
        recordEnd: () => inFlightCalls.remove(call),
      }),
  });

  const runParsed = async (
    parsed: ParsedRequest,
    startedAt: number,
    signal: AbortSignal,
  ): Promise<CallerReply> => {
    const { reply, call } = await run(parsed, signal);
    const { requestId } = parsed;
    const { service } = parsed;
    histograms.record('queue', service, call.startedAt - startedAt);
    const headers: Record<string, string> = {
      ...reply.headers,
      'x-request-id': requestId,
      'x-endpoint': call.member.id,
    };
    if (reply.streamId) headers['x-stream-id'] = `${call.member.id}.${reply.streamId}`;
    if (reply.replayed) headers['idempotent-replayed'] = 'true';
    const body = passAnswer({
      clock,
      requestId,
      headers: reply.headers,
      body: reply.body,
      needsFinalEvent: parsed.isCompletion && reply.status === 200,
      recordChunk: (gapMs) => {
        call.seenAt = clock.monotonic();
        if (gapMs === undefined) {
          histograms.record('firstByte', service, call.seenAt - startedAt);
        } else histograms.record('gap', service, gapMs);
      },
      recordEnd: () => {
        inFlightCalls.remove(call);
        histograms.record('request', service, clock.monotonic() - startedAt);
      },
    });
    return { status: reply.status, headers, body };
  };

  const runRequest = async (
    request: CallerRequest,
    requestId: RequestId,
    signal: AbortSignal,
  ): Promise<CallerReply> => {
    const startedAt = clock.monotonic();
    const account = request.account ?? checkCaller(request.headers.authorization);
    const { config } = readState();
    if (streams.isStreamRequest(request)) return streams.handle(request, requestId, signal);
    const parsed = parseRequest({ request, requestId, account, config });
    limiter.admit({ account, config, shares: link.readView().shares });
    try {
      return await runParsed(parsed, startedAt, signal);
    } catch (error) {
      return buildReplayedReply(await notRunCheck.resolve(parsed, error), requestId);
    }
  };

  /** Builds the reply for a request that was refused before `handle`. */
  const buildRefusalReply = (error: unknown): CallerReply =>
    buildProblem(toRefusal(error), createId<RequestId>());

  const handle = async (request: CallerRequest, signal: AbortSignal): Promise<CallerReply> => {
    const requestId = createId<RequestId>();
    try {
      return await runRequest(request, requestId, signal);
    } catch (error) {
      const refusal = toRefusal(error);
      refusal.notRun &&= notRunCheck.isNotRunCertain(error, request.headers['idempotency-key']);
      options.timeline.record(
        'request.failed',
        { code: refusal.code, notRun: refusal.notRun },
        requestId,
      );
      return buildProblem(refusal, requestId);
    }
  };

  return {
    handle,
    checkCaller,
    buildRefusalReply,
    isReady,
    /** Makes the entry report that it is not ready; requests are still served. */
    stop: (): void => {
      isStopping = true;
    },
    takeUsage: limiter.takeUsage,
    countRunning: inFlightCalls.countAll,
  };
}
