import type { IncomingMessage } from 'node:http';
import type { EndpointId } from '@vanillarelay/core';
import type { EndpointRecord } from '@vanillarelay/routing';
import { CallFailure } from '../../dispatch/call-failure.js';
import { callEndpoint } from '../../dispatch/call-endpoint.js';
import { releaseAnswer } from '../../dispatch/release-answer.js';
import type { AnswerFacts } from '../../wire/answer-facts.js';
import type { EndpointLoad } from '../../wire/endpoint-load.js';
import type { AttemptOutcome } from './attempt-outcome.js';
import type { Caller } from '../caller.js';
import { findUrgency } from '../waiting/find-urgency.js';
import { isOwnAnswer } from './is-own-answer.js';
import { logSpoiltStream } from './log-spoilt-stream.js';
import { relayAnswer } from './relay-answer.js';
import { relayEvents } from './relay-events.js';
import { startSilenceTimer } from './start-silence-timer.js';
import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { StreamProgress } from './stream-progress.js';

interface Attempt {
  request: RoutedRequest;
  record: EndpointRecord;
  /** Monotonic time by which the request must be answered. */
  deadlineAt: number;
  signal: AbortSignal;
  progress: StreamProgress;
  /**
   * Address of an endpoint that probably has the prompt cached, from which this one may copy the
   * cached part.
   */
  cacheSource: string | undefined;
  /**
   * Whether no other endpoint may run the request after this attempt. A silent endpoint is then
   * given until the deadline, and its 5xx answer is relayed to the caller.
   */
  isLast: boolean;
  /** Whether another endpoint can take the request over now, with a free slot or without. */
  hasAlternative: (needsFreeSlot: boolean) => boolean;
  /** Called if the endpoint counts as silent but keeps the request. */
  recordSilence: () => void;
  /** Called when the first event of the answer has arrived. */
  notifyStart: () => void;
  /** Called when the answer has begun: with its first event, or its head if it is no stream. */
  notifyAnswer: () => void;
  /** Called with what the endpoint says of its load. */
  recordLoad: (load: EndpointLoad) => void;
}

/**
 * Multiple of the route's target response time (`objectiveMs`) after which an endpoint that has not
 * answered counts as silent and is abandoned as soon as another one can take over.
 */
const silentFactor = 2;
/** Multiple of the longest acceptable pause after which an endpoint counts as silent. */
const pauseFactor = 4;
/** Lower limit of that time for streams, and of the time between two events. */
const minStreamSilentMs = 600;
/** Lower limit of that time for other requests. */
const minPlainSilentMs = 300;
const streamType = 'text/event-stream';
const okStatus = 200;
/**
 * Statuses that mean to a caller that the request did not run. An endpoint's answer with such a
 * status is accepted only when a header of the endpoint confirms it.
 */
const notRunStatuses = new Set([408, 421, 429, 503]);
const firstStatus = 200;
const lastStatus = 599;

/** Sends a request to one endpoint and relays its answer to the caller. */
export async function runAttempt(
  context: RouterContext,
  attempt: Attempt,
): Promise<AttemptOutcome> {
  const { clock, wire, loads, pool, sendQueue } = context;
  const { request, record, deadlineAt, signal, progress, isLast, cacheSource } = attempt;
  const { route, account, facts, method, path, body } = request;
  const minMs = route.isStream ? minStreamSilentMs : minPlainSilentMs;
  const silentMs = Math.max(minMs, route.objectiveMs * silentFactor);
  const notifyStart = (): void => {
    attempt.notifyStart();
    attempt.notifyAnswer();
  };
  const startTimer = (ms: number, abandon: () => void): (() => void) => {
    const { hasAlternative, recordSilence } = attempt;
    return isLast
      ? () => {}
      : startSilenceTimer({ clock, ms, hasAlternative, recordSilence }, abandon);
  };
  const priority = findUrgency(request);
  const headers = wire.buildHeaders(facts, {
    endpoint: record.id,
    deadlineMs: Math.max(1, Math.floor(deadlineAt - clock.monotonic())),
    priority,
    ...(account ? { account: account.id } : {}),
    ...(cacheSource === undefined ? {} : { cacheSource }),
    ...(progress.lastEventId === undefined ? {} : { lastEventId: progress.lastEventId }),
  });
  if (body.length > 0 || method !== 'GET') headers.push('Content-Length', String(body.length));
  loads.start(record.id);
  try {
    const { message: answer, isConnectionReused } = await callEndpoint({
      ...{ method, path, headers, body, signal },
      address: record.address,
      agent: pool,
      waitForTurn: () => sendQueue.waitForTurn({ priority, deadlineAt, signal }),
      startHeadTimer: (abandon) => startTimer(silentMs, abandon),
    });
    const status = answer.statusCode ?? 0;
    const answerFacts = wire.parseAnswer(status, answer.headers);
    if (!isOwnAnswer(facts.id, answerFacts.requestId, isConnectionReused)) {
      answer.destroy();
      return { type: 'failed', reason: 'answer to another request', isSilent: false, status };
    }
    if (answerFacts.isMisdirected) {
      releaseAnswer(answer, clock);
      return { type: 'notRun', reason: 'otherEndpoint', cause: 'replaced' };
    }
    recordLimit(context, record.id, answerFacts);
    recordNotice(context, record, answerFacts);
    if (answerFacts.load) attempt.recordLoad(answerFacts.load);
    if (answerFacts.isNotRun) {
      releaseAnswer(answer, clock);
      return { type: 'notRun', reason: `endpoint answered ${status}`, cause: 'rejected' };
    }
    const isStream = status === okStatus && hasEvents(answer);
    const fault = findAnswerFault(status, answerFacts, route.isStream && !isStream);
    if (fault !== undefined) {
      answer.destroy();
      return { type: 'failed', reason: fault, isSilent: false, status };
    }
    // A caller that does not read its answer must not hold the request beyond its deadline.
    const caller: Caller = {
      ...request.caller,
      sendChunk: (bytes) => request.caller.sendChunk(bytes, signal),
    };
    if (route.isStream && isStream) {
      const pauseMs = Math.max(minStreamSilentMs, route.maxPauseMs * pauseFactor);
      return await relayEvents({
        ...{ answer, caller, progress, pauseMs, startSilenceTimer: startTimer },
        notifyStart,
        ...{ firstEventMs: silentMs, parseEvent: wire.parseEvent },
        reportFault: (found) => logSpoiltStream(context, request, record, progress, found),
      });
    }
    if (request.caller.hasSentHead()) {
      answer.destroy();
      const reason = `endpoint answered ${status} to a resumed stream`;
      return { type: 'failed', reason, isSilent: false, status };
    }
    attempt.notifyAnswer();
    return await relayAnswer({ answer, caller, memory: context.memory, isFailureFinal: isLast });
  } catch (error) {
    return toOutcome(context, error, signal);
  } finally {
    loads.stop(record.id);
  }
}

/** Records the limit that an answer names; only a signed answer clears it. */
function recordLimit(
  { rateLimiter }: RouterContext,
  id: EndpointId,
  { rateLimitPerS, isSigned }: AnswerFacts,
): void {
  if (rateLimitPerS !== undefined || isSigned) rateLimiter.recordAnswer(id, rateLimitPerS);
}

/** Records what an answer says about further requests to its endpoint. */
function recordNotice(
  { notices, record: log }: RouterContext,
  { id, bornAt }: EndpointRecord,
  { isLeaving, wait }: AnswerFacts,
): void {
  if (isLeaving) notices.recordLeaving(id, bornAt);
  if (wait === undefined) notices.recordAnswer(id);
  else if (typeof wait === 'number') notices.recordWait(id, bornAt, wait);
  else log('endpoint.waitUnreadable', { endpoint: id, value: wait.unreadable });
}

/** Why an answer must not be relayed; undefined when it may be. */
function findAnswerFault(
  status: number,
  facts: AnswerFacts,
  lacksEvents: boolean,
): string | undefined {
  if (status < firstStatus || status > lastStatus) return `endpoint answered ${status}`;
  if (notRunStatuses.has(status)) return `endpoint answered ${status} without proof`;
  if (status < 300 && (!facts.isSigned || facts.isBodyModified))
    return 'answer is not the endpoint’s';
  if (status < 300 && lacksEvents) return `endpoint answered ${status} without a stream of events`;
  return undefined;
}

function hasEvents({ headers }: IncomingMessage): boolean {
  return headers['content-type']?.toLowerCase().startsWith(streamType) ?? false;
}

function toOutcome({ record }: RouterContext, error: unknown, signal: AbortSignal): AttemptOutcome {
  if (signal.aborted) return { type: 'cancelled' };
  if (!(error instanceof CallFailure)) {
    // The request may have been sent; what the error says of the endpoint is not known.
    const reason = `unexpected: ${(error as Error).message}`;
    record('request.unexpectedError', { reason, stack: (error as Error).stack });
    return { type: 'failed', reason, isSilent: false, status: 0 };
  }
  const { isSent, kind, message } = error;
  const reason = `${kind}: ${message}`;
  if (isSent)
    return { type: 'failed', reason, isSilent: kind === 'silent', isSpoilt: kind === 'spoilt' };
  const isCause = kind === 'refused' || kind === 'invalid';
  return { type: 'notRun', reason, cause: isCause ? kind : 'unreachable' };
}
