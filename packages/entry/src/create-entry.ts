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
import { createRunCheck } from './attempts/create-run-check.js';
import { createRunner } from './attempts/create-runner.js';
import { buildKeptAnswer } from './build-kept-answer.js';
import { buildProblem } from './build-problem.js';
import type { CallerReply } from './caller-reply.js';
import type { CallerRequest } from './caller-request.js';
import { placeReturningChat } from './placement/place-returning-chat.js';
import type { Place } from './placement/place.js';
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
  /** How endpoints are chosen; a bench compares ways. */
  place?: Place;
}

const notReadyRetryAfterMs = 1_000;

/** Makes an entry: it checks callers' requests and decides where they run. */
export function createEntry({ place = placeReturningChat, ...options }: EntryOptions) {
  const { clock, histograms, createId, link, openAgent } = options;
  const accounts = createAccountIndex();
  const limiter = createAccountLimiter({ clock });
  const { run, flights } = createRunner({ ...options, place });
  const runCheck = createRunCheck(options);
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

  /** The account of a bearer key; throws a refusal for an unknown one. */
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
    flights,
    wrapAnswer: (headers, body, requestId, flight) =>
      passAnswer({
        clock,
        requestId,
        headers,
        body,
        needsFinalEvent: false,
        recordChunk: () => {
          flight.seenAt = clock.monotonic();
        },
        recordEnd: () => flights.remove(flight),
      }),
  });

  const runParsed = async (
    parsed: ParsedRequest,
    startedAt: number,
    signal: AbortSignal,
  ): Promise<CallerReply> => {
    const { reply, flight } = await run(parsed, signal);
    const { requestId } = parsed;
    const { service } = parsed;
    histograms.record('queue', service, flight.startedAt - startedAt);
    const headers: Record<string, string> = {
      ...reply.headers,
      'x-request-id': requestId,
      'x-endpoint': flight.member.id,
    };
    if (reply.streamId) headers['x-stream-id'] = `${flight.member.id}.${reply.streamId}`;
    if (reply.replayed) headers['idempotent-replayed'] = 'true';
    const body = passAnswer({
      clock,
      requestId,
      headers: reply.headers,
      body: reply.body,
      needsFinalEvent: parsed.isCompletion && reply.status === 200,
      recordChunk: (gapMs) => {
        flight.seenAt = clock.monotonic();
        if (gapMs === undefined) {
          histograms.record('firstByte', service, flight.seenAt - startedAt);
        } else histograms.record('gap', service, gapMs);
      },
      recordEnd: () => {
        flights.remove(flight);
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
      return buildKeptAnswer(await runCheck.resolve(parsed, error), requestId);
    }
  };

  /** A refusal as answer to a caller. */
  const refuse = (error: unknown): CallerReply =>
    buildProblem(toRefusal(error), createId<RequestId>());

  const handle = async (request: CallerRequest, signal: AbortSignal): Promise<CallerReply> => {
    const requestId = createId<RequestId>();
    try {
      return await runRequest(request, requestId, signal);
    } catch (error) {
      const refusal = toRefusal(error);
      refusal.notRun &&= runCheck.isCertain(error, request.headers['idempotency-key']);
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
    refuse,
    isReady,
    /** Reports not ready from now on; requests are still served. */
    stop: (): void => {
      isStopping = true;
    },
    takeUsage: limiter.takeUsage,
    countRunning: flights.countAll,
  };
}
