import {
  ResultCode,
  type EndpointId,
  type Fingerprint,
  type Refusal,
  type ServiceId,
} from '@vanillarelay/core';
import { chooseEndpoint, chooseService } from '@vanillarelay/routing';
import type { AttemptOutcome } from './attempt-outcome.js';
import { buildAffinityKey } from './build-affinity-key.js';
import { buildFingerprint } from './build-fingerprint.js';
import { findCacheSource } from './find-cache-source.js';
import { listCandidates } from './list-candidates.js';
import type { RequestResult } from './request-result.js';
import type { RoutedRequest } from './routed-request.js';
import type { RouterContext } from './router-context.js';
import { runAttempt } from './run-attempt.js';
import type { StreamProgress } from './stream-progress.js';

interface RunState {
  service: ServiceId;
  deadlineAt: number;
  signal: AbortSignal;
  tried: Set<EndpointId>;
  /** Number of endpoints on which the request may have run. */
  possibleRuns: number;
  progress: StreamProgress;
  result: RequestResult;
  lastReason: string;
  /** Key of the shared prefix of the prompt; undefined without a prompt. */
  affinityKey: string | undefined;
  /** Hash of the request's content; computed on first use. */
  fingerprint?: Fingerprint;
}

/** Maximum number of sends, even when every endpoint proves that it did not run the request. */
const maxSends = 4;
const capacityPollIntervalMs = 15;
/**
 * Share of the route's target response time (`objectiveMs`) for which a request waits for capacity
 * before it is refused.
 */
const waitShare = 0.5;
const minRetryAfterMs = 50;
const maxRetryAfterMs = 1_000;
/** Retry time of a refused caller, as a share of the request's time limit. */
const retryAfterShare = 0.25;

/** Runs a request to completion: chooses endpoints, sends it and retries where that is allowed. */
export async function runRequest(
  context: RouterContext,
  request: RoutedRequest,
): Promise<RequestResult> {
  const { clock, random, budget } = context;
  const { route, facts, caller, startedAt } = request;
  const result: RequestResult = { outcome: 'failed', status: 0, sends: [] };
  const service = chooseService(route, random);
  if (service === undefined)
    return refuse(
      request,
      result,
      ResultCode.unknownService,
      'the route has no service with a positive weight',
    );
  budget.recordRequest(service);
  const limitMs = Math.min(facts.deadlineMs ?? route.timeoutMs, route.timeoutMs);
  const abortController = new AbortController();
  const abort = () => abortController.abort();
  const cancelTimer = clock.startTimer(startedAt + limitMs - clock.monotonic(), abort);
  caller.signal.addEventListener('abort', abort, { once: true });
  const state: RunState = {
    ...{ service, result },
    deadlineAt: startedAt + limitMs,
    signal: abortController.signal,
    tried: new Set(),
    possibleRuns: 0,
    progress: { lastEventId: facts.lastEventId, events: 0 },
    lastReason: '',
    affinityKey: route.hasPrompt ? buildAffinityKey(facts) : undefined,
  };
  try {
    return await runAttempts(context, request, state);
  } finally {
    cancelTimer();
    caller.signal.removeEventListener('abort', abort);
  }
}

async function runAttempts(
  context: RouterContext,
  request: RoutedRequest,
  state: RunState,
): Promise<RequestResult> {
  const { clock, budget } = context;
  const { result, service, signal } = state;
  for (;;) {
    const chosen = await waitForEndpoint(context, request, state);
    if (request.caller.signal.aborted) return { ...result, outcome: 'callerLeft' };
    if (signal.aborted) return endAfterDeadline(request, state);
    if ('code' in chosen) {
      const reason = `${chosen.reason} ${JSON.stringify(chosen.passedOver)}`;
      return endWithoutSend(request, state, chosen.code, reason);
    }
    if (isKnownToCrash(context, request, state)) {
      const reason = 'the request crashes its endpoints';
      return endWithoutSend(request, state, ResultCode.crashConvicted, reason);
    }
    if (result.sends.length > 0 && !budget.spend(service)) {
      return endWithoutSend(request, state, ResultCode.retryBudgetSpent, 'retry budget spent');
    }
    const sentAt = clock.monotonic();
    const outcome = await send(context, request, state, chosen.id);
    state.lastReason = 'reason' in outcome ? outcome.reason : outcome.type;
    result.sends.push({
      endpoint: chosen.id,
      reason: chosen.reason,
      passedOver: chosen.passedOver,
      outcome: state.lastReason,
      ms: Math.round(clock.monotonic() - sentAt),
    });
    if (outcome.type === 'answered') {
      return { ...result, outcome: 'answered', status: outcome.status };
    }
    if (request.caller.signal.aborted) return { ...result, outcome: 'callerLeft' };
    if (signal.aborted) return endAfterDeadline(request, state);
    if (!isRetryAllowed(request, state, outcome)) return endFailed(request, state);
  }
}

type Choice = ({ id: EndpointId; reason: string } | { code: ResultCode; reason: string }) & {
  passedOver: object;
};

/**
 * Chooses an endpoint. When all are full, or started recently (cold) and already receive as many
 * requests as a cold endpoint may, waits up to a share of the route's target response time.
 */
async function waitForEndpoint(
  context: RouterContext,
  { table, route }: RoutedRequest,
  { service, tried, signal, result, affinityKey }: RunState,
): Promise<Choice> {
  const { clock, hash, random, dataCentre } = context;
  const waitUntil = clock.monotonic() + route.objectiveMs * waitShare;
  for (;;) {
    const { open, total, meanLoad, passedOver } = listCandidates(
      context,
      service,
      table.findService(service),
    );
    const placement = chooseEndpoint(
      open,
      { tried, meanLoad, ...(affinityKey === undefined ? {} : { affinityKey }) },
      { hash, random, dataCentre },
    );
    if (placement) return { ...placement, passedOver };
    if (total === 0)
      return { code: ResultCode.noEndpoint, reason: 'no endpoint takes work', passedOver };
    if (tried.size >= total)
      return { code: ResultCode.noEndpoint, reason: 'all were tried', passedOver };
    if (signal.aborted || clock.monotonic() >= waitUntil) {
      return { code: ResultCode.endpointBusy, reason: 'all are full or cold', passedOver };
    }
    await clock.wait(capacityPollIntervalMs, signal);
    result.waitedMs = (result.waitedMs ?? 0) + capacityPollIntervalMs;
  }
}

async function send(
  context: RouterContext,
  request: RoutedRequest,
  state: RunState,
  id: EndpointId,
): Promise<AttemptOutcome> {
  const { clock, endpoints, health, coldRateLimiter } = context;
  const endpoint = endpoints.find(id);
  if (!endpoint) return { type: 'notRun', reason: 'endpoint has left', isUnreachable: false };
  const { tried, deadlineAt, signal, progress, possibleRuns } = state;
  if (endpoint.coldUntil > clock.monotonic()) coldRateLimiter.record(id);
  tried.add(id);
  const isLast = !isRepeatable(request) || possibleRuns + 1 >= request.route.maxEndpoints;
  const outcome = await runAttempt(context, {
    ...{ request, deadlineAt, signal, progress, isLast },
    cacheSource: readCacheSource(context, request, state, id),
    record: endpoint.record,
  });
  recordCrash(context, request, state, outcome);
  if (outcome.type === 'answered') health.recordSuccess(id);
  if (outcome.type === 'failed' || outcome.type === 'broken') {
    state.possibleRuns += 1;
    if (outcome.type === 'failed' && outcome.isSilent) health.recordUnreachable(id);
    else health.recordFailure(id);
  }
  if (outcome.type === 'notRun' && outcome.isReplaced) endpoints.remove(id);
  else if (outcome.type === 'notRun' && outcome.isUnreachable) health.recordUnreachable(id);
  return outcome;
}

/**
 * Records a possible crash when the connection to the endpoint was lost or its stream stopped while
 * it ran the request. A complete answer clears the record of the request.
 */
function recordCrash(
  { crashes }: RouterContext,
  request: RoutedRequest,
  state: RunState,
  outcome: AttemptOutcome,
): void {
  const isLost =
    outcome.type === 'broken' ||
    (outcome.type === 'failed' && !outcome.isSilent && outcome.status === undefined);
  if (isLost) crashes.recordCrash(readFingerprint(request, state));
  else if (outcome.type === 'answered' && !crashes.isEmpty()) {
    crashes.clear(readFingerprint(request, state));
  }
}

/** Whether the request was running during so many crashes that it is refused. */
function isKnownToCrash(
  { crashes }: RouterContext,
  request: RoutedRequest,
  state: RunState,
): boolean {
  return !crashes.isEmpty() && crashes.isKnownToCrash(readFingerprint(request, state));
}

function readFingerprint(request: RoutedRequest, state: RunState): Fingerprint {
  state.fingerprint ??= buildFingerprint(request);
  return state.fingerprint;
}

function readCacheSource(
  context: RouterContext,
  { table }: RoutedRequest,
  { service, affinityKey: key }: RunState,
  id: EndpointId,
): string | undefined {
  if (key === undefined || !table.findService(service)?.canCopyCache) return undefined;
  return findCacheSource(context, service, key, id);
}

/** Whether running a request more than once does no harm. */
function isRepeatable({ route }: RoutedRequest): boolean {
  return route.repeat === 'idempotent' || (route.isStream && route.isResumable);
}

/** Whether a request may be sent to another endpoint after an attempt with this outcome. */
function isRetryAllowed(
  request: RoutedRequest,
  { result, possibleRuns }: RunState,
  outcome: AttemptOutcome,
): boolean {
  if (result.sends.length >= maxSends) return false;
  if (outcome.type === 'notRun') return true;
  if (!isRepeatable(request) || possibleRuns >= request.route.maxEndpoints) return false;
  const hasSentHead = request.caller.hasSentHead();
  return hasSentHead ? request.route.isResumable : outcome.type === 'failed';
}

/** Ends a request that is not sent (again); it is refused unless an earlier send may have run. */
function endWithoutSend(
  request: RoutedRequest,
  state: RunState,
  code: ResultCode,
  reason: string,
): RequestResult {
  if (state.possibleRuns > 0) return endFailed(request, state);
  return refuse(request, state.result, code, `${reason}; ${state.lastReason}`);
}

/** Ends a request after its deadline. If it was never sent, it certainly has not run. */
function endAfterDeadline(request: RoutedRequest, state: RunState): RequestResult {
  const { result } = state;
  if (result.sends.length === 0) {
    return refuse(
      request,
      result,
      ResultCode.deadlineExceeded,
      'no endpoint was available before the deadline',
    );
  }
  return fail(request, result, {
    code: ResultCode.deadlineExceeded,
    message: 'the endpoint did not answer before the deadline',
    notRun: false,
  });
}

/** Ends a request after its last attempt; it is refused if it has certainly not run anywhere. */
function endFailed(request: RoutedRequest, state: RunState): RequestResult {
  if (state.possibleRuns === 0) {
    return refuse(request, state.result, ResultCode.noEndpoint, state.lastReason);
  }
  return fail(request, state.result, {
    code: ResultCode.outcomeUnknown,
    message: state.lastReason,
    notRun: false,
  });
}

/** Refuses a request that has not run, with a time after which the caller may retry. */
function refuse(
  request: RoutedRequest,
  result: RequestResult,
  code: ResultCode,
  message: string,
): RequestResult {
  const { deadlineMs } = request.facts;
  const limitMs = deadlineMs ?? request.route.timeoutMs;
  const retryAfterMs = Math.round(
    Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, limitMs * retryAfterShare)),
  );
  if (request.caller.hasSentHead()) return abortAnswer(request, result);
  const refusal: Refusal = { code, message, notRun: true, retryAfterMs };
  return { ...result, outcome: 'refused', refusal };
}

function fail(request: RoutedRequest, result: RequestResult, refusal: Refusal): RequestResult {
  if (request.caller.hasSentHead()) return { ...abortAnswer(request, result), refusal };
  return { ...result, outcome: 'failed', refusal };
}

function abortAnswer({ caller }: RoutedRequest, result: RequestResult): RequestResult {
  caller.abort();
  return { ...result, outcome: 'brokenOff' };
}
