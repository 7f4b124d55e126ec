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
import type { RouterParts } from './router-parts.js';
import { runAttempt } from './run-attempt.js';
import type { StreamProgress } from './stream-progress.js';

interface RunState {
  service: ServiceId;
  deadlineAt: number;
  signal: AbortSignal;
  tried: Set<EndpointId>;
  /** Endpoints at which the request may have run. */
  runs: number;
  progress: StreamProgress;
  result: RequestResult;
  lastReason: string;
  /** Names the shared part of the prompt; absent without a prompt. */
  affinityKey: string | undefined;
  /** Names the content; hashed only when some request is on record for crashes. */
  fingerprint?: Fingerprint;
}

/** Sends at most this often, also when every endpoint proves that it did not run the request. */
const maxSends = 4;
const roomPollMs = 15;
/** Part of the objective for which a request waits for room before it is refused. */
const waitShare = 0.5;
const minRetryAfterMs = 50;
const maxRetryAfterMs = 1_000;
/** Part of the time left after which a refused caller may come back. */
const retryAfterShare = 0.25;

/** Runs a request to its end: chooses endpoints, sends, repeats where that is allowed. */
export async function runRequest(
  parts: RouterParts,
  request: RoutedRequest,
): Promise<RequestResult> {
  const { clock, random, budget } = parts;
  const { route, facts, caller, startedAt } = request;
  const result: RequestResult = { outcome: 'failed', status: 0, sends: [] };
  const service = chooseService(route, random);
  if (service === undefined)
    return refuse(request, result, ResultCode.unknownService, 'no service');
  budget.recordRequest(service);
  const limitMs = Math.min(facts.deadlineMs ?? route.timeoutMs, route.timeoutMs);
  const ending = new AbortController();
  const end = () => ending.abort();
  const cancelTimer = clock.startTimer(startedAt + limitMs - clock.monotonic(), end);
  caller.signal.addEventListener('abort', end, { once: true });
  const state: RunState = {
    ...{ service, result },
    deadlineAt: startedAt + limitMs,
    signal: ending.signal,
    tried: new Set(),
    runs: 0,
    progress: { lastEventId: facts.lastEventId, events: 0 },
    lastReason: '',
    affinityKey: route.hasPrompt ? buildAffinityKey(facts) : undefined,
  };
  try {
    return await runAttempts(parts, request, state);
  } finally {
    cancelTimer();
    caller.signal.removeEventListener('abort', end);
  }
}

async function runAttempts(
  parts: RouterParts,
  request: RoutedRequest,
  state: RunState,
): Promise<RequestResult> {
  const { clock, budget } = parts;
  const { result, service, signal } = state;
  for (;;) {
    const chosen = await waitForEndpoint(parts, request, state);
    if (request.caller.signal.aborted) return { ...result, outcome: 'callerLeft' };
    if (signal.aborted) return endLate(request, state);
    if ('code' in chosen) {
      const reason = `${chosen.reason} ${JSON.stringify(chosen.passedOver)}`;
      return endWithout(request, state, chosen.code, reason);
    }
    if (isConvicted(parts, request, state)) {
      const reason = 'the request crashes its endpoints';
      return endWithout(request, state, ResultCode.crashConvicted, reason);
    }
    if (result.sends.length > 0 && !budget.spend(service)) {
      return endWithout(request, state, ResultCode.retryBudgetSpent, 'retry budget spent');
    }
    const sentAt = clock.monotonic();
    const outcome = await send(parts, request, state, chosen.id);
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
    if (signal.aborted) return endLate(request, state);
    if (!isRepeatAllowed(request, state, outcome)) return endFailed(request, state);
  }
}

type Choice = ({ id: EndpointId; reason: string } | { code: ResultCode; reason: string }) & {
  passedOver: object;
};

/** Chooses an endpoint; waits a part of the objective when all are full or cold. */
async function waitForEndpoint(
  parts: RouterParts,
  { table, route }: RoutedRequest,
  { service, tried, signal, result, affinityKey }: RunState,
): Promise<Choice> {
  const { clock, hash, random, dataCentre } = parts;
  const waitUntil = clock.monotonic() + route.objectiveMs * waitShare;
  for (;;) {
    const { open, total, mean, passedOver } = listCandidates(
      parts,
      service,
      table.findService(service),
    );
    const placement = chooseEndpoint(
      open,
      { tried, mean, ...(affinityKey === undefined ? {} : { affinityKey }) },
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
    await clock.wait(roomPollMs, signal);
    result.waitedMs = (result.waitedMs ?? 0) + roomPollMs;
  }
}

async function send(
  parts: RouterParts,
  request: RoutedRequest,
  state: RunState,
  id: EndpointId,
): Promise<AttemptOutcome> {
  const { clock, endpoints, health, pacer } = parts;
  const entry = endpoints.find(id);
  if (!entry) return { type: 'notRun', reason: 'endpoint has left', isUnreachable: false };
  const { tried, deadlineAt, signal, progress, runs } = state;
  if (entry.coldUntil > clock.monotonic()) pacer.record(id);
  tried.add(id);
  const isLast = !isRepeatable(request) || runs + 1 >= request.route.maxEndpoints;
  const outcome = await runAttempt(parts, {
    ...{ request, deadlineAt, signal, progress, isLast },
    cacheSource: readCacheSource(parts, request, state, id),
    record: entry.record,
  });
  recordCrash(parts, request, state, outcome);
  if (outcome.type === 'answered') health.recordSuccess(id);
  if (outcome.type === 'failed' || outcome.type === 'broken') {
    state.runs += 1;
    if (outcome.type === 'failed' && outcome.isSilent) health.recordUnreachable(id);
    else health.recordFailure(id);
  }
  if (outcome.type === 'notRun' && outcome.isReplaced) endpoints.remove(id);
  else if (outcome.type === 'notRun' && outcome.isUnreachable) health.recordUnreachable(id);
  return outcome;
}

/** Notes that an endpoint broke off while it ran a request; it may have crashed by it. */
function recordCrash(
  { crashes }: RouterParts,
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

function isConvicted({ crashes }: RouterParts, request: RoutedRequest, state: RunState): boolean {
  return !crashes.isEmpty() && crashes.isConvicted(readFingerprint(request, state));
}

function readFingerprint(request: RoutedRequest, state: RunState): Fingerprint {
  state.fingerprint ??= buildFingerprint(request);
  return state.fingerprint;
}

function readCacheSource(
  parts: RouterParts,
  { table }: RoutedRequest,
  { service, affinityKey: key }: RunState,
  id: EndpointId,
): string | undefined {
  if (key === undefined || !table.findService(service)?.canCopyCache) return undefined;
  return findCacheSource(parts, service, key, id);
}

/** Whether a request may run more than once. */
function isRepeatable({ route }: RoutedRequest): boolean {
  return route.repeat === 'idempotent' || (route.isStream && route.isResumable);
}

function isRepeatAllowed(
  request: RoutedRequest,
  { result, runs }: RunState,
  outcome: AttemptOutcome,
): boolean {
  if (result.sends.length >= maxSends) return false;
  if (outcome.type === 'notRun') return true;
  if (!isRepeatable(request) || runs >= request.route.maxEndpoints) return false;
  const isBegun = request.caller.isBegun();
  return isBegun ? request.route.isResumable : outcome.type === 'failed';
}

/** Ends a request for which no endpoint is left; it has not run unless an earlier send may have. */
function endWithout(
  request: RoutedRequest,
  state: RunState,
  code: ResultCode,
  reason: string,
): RequestResult {
  if (state.runs > 0) return endFailed(request, state);
  return refuse(request, state.result, code, `${reason}; ${state.lastReason}`);
}

/** Ends a request after its time; without a send it certainly has not run. */
function endLate(request: RoutedRequest, state: RunState): RequestResult {
  const { result } = state;
  if (result.sends.length === 0) {
    return refuse(request, result, ResultCode.deadlineExceeded, 'no endpoint in time');
  }
  return fail(request, result, {
    code: ResultCode.deadlineExceeded,
    message: 'the endpoint did not answer in time',
    notRun: false,
  });
}

function endFailed(request: RoutedRequest, state: RunState): RequestResult {
  if (state.runs === 0) {
    return refuse(request, state.result, ResultCode.noEndpoint, state.lastReason);
  }
  return fail(request, state.result, {
    code: ResultCode.outcomeUnknown,
    message: state.lastReason,
    notRun: false,
  });
}

/** A refusal before the request ran, with the time after which a further try makes sense. */
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
  if (request.caller.isBegun()) return abortAnswer(request, result);
  const refusal: Refusal = { code, message, notRun: true, retryAfterMs };
  return { ...result, outcome: 'refused', refusal };
}

function fail(request: RoutedRequest, result: RequestResult, refusal: Refusal): RequestResult {
  if (request.caller.isBegun()) return { ...abortAnswer(request, result), refusal };
  return { ...result, outcome: 'failed', refusal };
}

function abortAnswer({ caller }: RoutedRequest, result: RequestResult): RequestResult {
  caller.breakOff();
  return { ...result, outcome: 'brokenOff' };
}
