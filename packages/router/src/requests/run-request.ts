import { ResultCode, type EndpointId } from '@vanillarelay/core';
import { chooseService } from '@vanillarelay/routing';
import type { AttemptOutcome } from './attempt-outcome.js';
import { buildAffinityKey } from './build-affinity-key.js';
import { hasAlternative } from './has-alternative.js';
import { computeDeadline } from './compute-deadline.js';
import { endFailed } from './end-failed.js';
import { endInterrupted } from './end-interrupted.js';
import { endWithoutSend } from './end-without-send.js';
import { findCacheSource } from './find-cache-source.js';
import { hasArrived } from './has-arrived.js';
import { isBlocked } from './is-blocked.js';
import { isLost } from './is-lost.js';
import { isRepeatable } from './is-repeatable.js';
import { isRetryAllowed } from './is-retry-allowed.js';
import { listPartSuspects } from './list-part-suspects.js';
import { logLostRequest } from './log-lost-request.js';
import { recordCrash } from './record-crash.js';
import { refuseRequest } from './refuse-request.js';
import type { RequestResult } from './request-result.js';
import type { RoutedRequest } from './routed-request.js';
import type { RouterContext } from './router-context.js';
import { runAttempt } from './run-attempt.js';
import type { RunState } from './run-state.js';
import { selectEndpoint } from './select-endpoint.js';

/**
 * Share of the route's target response time (`objectiveMs`) for which a request waits for capacity
 * before it is refused.
 */
const waitShare = 0.5;
const capacityPollIntervalMs = 15;

/** Runs a request to completion: chooses endpoints, sends it and retries where that is allowed. */
export async function runRequest(
  context: RouterContext,
  request: RoutedRequest,
): Promise<RequestResult> {
  const { clock, random, budget, stopSignal } = context;
  const { route, facts, caller } = request;
  const result: RequestResult = { outcome: 'failed', status: 0, sends: [] };
  const service = chooseService(route, random);
  if (service === undefined)
    return refuseRequest(
      request,
      result,
      ResultCode.unknownService,
      'the route has no service with a positive weight',
    );
  budget.recordRequest(service);
  context.rateLimiter.recordDemand(service);
  const deadlineAt = computeDeadline(request);
  const abortController = new AbortController();
  const abort = () => abortController.abort();
  const cancelTimer = clock.startTimer(deadlineAt - clock.monotonic(), abort);
  caller.signal.addEventListener('abort', abort, { once: true });
  context.running.add(abort);
  if (stopSignal.aborted) abort();
  const state: RunState = {
    ...{ service, result, deadlineAt },
    signal: abortController.signal,
    tried: new Set(),
    possibleRuns: 0,
    hasArrived: false,
    isRetryPaid: false,
    progress: { lastEventId: facts.lastEventId, events: 0 },
    lastReason: '',
    affinityKey: route.hasPrompt ? buildAffinityKey(facts) : undefined,
    partSuspects: listPartSuspects(facts),
  };
  try {
    return await runAttempts(context, request, state);
  } finally {
    cancelTimer();
    caller.signal.removeEventListener('abort', abort);
    context.running.delete(abort);
  }
}

async function runAttempts(
  context: RouterContext,
  request: RoutedRequest,
  state: RunState,
): Promise<RequestResult> {
  const { clock } = context;
  const { result, signal } = state;
  for (;;) {
    if (isBlocked(context, request, state)) {
      const reason = 'the request crashes its endpoints';
      return endWithoutSend(request, state, ResultCode.crashConvicted, reason);
    }
    const waitUntil = clock.monotonic() + request.route.objectiveMs * waitShare;
    let chosen: ReturnType<typeof selectEndpoint>;
    for (;;) {
      await context.sendQueue.waitForTurn();
      chosen = selectEndpoint(context, request, state, waitUntil);
      if (chosen) break;
      await clock.wait(capacityPollIntervalMs, signal);
      result.waitedMs = (result.waitedMs ?? 0) + capacityPollIntervalMs;
    }
    // Nothing is awaited from here to the send: the next request must see the load of this one.
    if (request.caller.signal.aborted) return { ...result, outcome: 'callerLeft' };
    // The timer of the deadline may be as late as the rest.
    if (signal.aborted || clock.monotonic() >= state.deadlineAt)
      return endInterrupted(context, request, state);
    if ('code' in chosen) {
      const reason = `${chosen.reason} ${JSON.stringify(chosen.passedOver)}`;
      return endWithoutSend(request, state, chosen.code, reason, chosen.retryAfterMs);
    }
    if (!spendRetry(context, state)) {
      return endWithoutSend(request, state, ResultCode.retryBudgetSpent, 'retry budget spent');
    }
    const sentAt = clock.monotonic();
    const outcome = await send(context, request, state, chosen.id);
    if (hasArrived(outcome)) Object.assign(state, { hasArrived: true, isRetryPaid: false });
    state.lastReason = 'reason' in outcome ? outcome.reason : outcome.type;
    result.sends.push({
      endpoint: chosen.id,
      reason: chosen.reason,
      passedOver: chosen.passedOver,
      outcome: state.lastReason,
      afterMs: Math.round(sentAt - request.startedAt),
      ms: Math.round(clock.monotonic() - sentAt),
    });
    if (outcome.type === 'answered') {
      return { ...result, outcome: 'answered', status: outcome.status };
    }
    if (request.caller.signal.aborted) return { ...result, outcome: 'callerLeft' };
    if (signal.aborted) return endInterrupted(context, request, state);
    if (!isRetryAllowed(context, request, state, outcome)) return endFailed(request, state);
  }
}

/** Spends the budget for a retry; an attempt that reached no endpoint leaves it unused. */
function spendRetry({ budget }: RouterContext, state: RunState): boolean {
  const isFirst = !state.hasArrived;
  if (!isFirst && !state.isRetryPaid) state.isRetryPaid = budget.spend(state.service);
  return isFirst || state.isRetryPaid;
}

async function send(
  context: RouterContext,
  request: RoutedRequest,
  state: RunState,
  id: EndpointId,
): Promise<AttemptOutcome> {
  const { clock, endpoints, health, coldRateLimiter, rateLimiter, notices } = context;
  const endpoint = endpoints.find(id);
  if (!endpoint) return { type: 'notRun', reason: 'endpoint has left', cause: 'departed' };
  const { tried, deadlineAt, signal, progress, possibleRuns } = state;
  if (endpoint.coldUntil > clock.monotonic()) coldRateLimiter.record(id);
  rateLimiter.record(id);
  notices.recordSend(id);
  tried.add(id);
  const isLast = !isRepeatable(request) || possibleRuns + 1 >= request.route.maxEndpoints;
  const sentRun = { sentAt: clock.monotonic(), eventsBefore: progress.events };
  const outcome = await runAttempt(context, {
    ...{ request, deadlineAt, signal, progress, isLast },
    cacheSource: readCacheSource(context, request, state, id),
    record: endpoint.record,
    hasAlternative: () => hasAlternative(context, request, state),
    recordSilence: () => health.recordUnreachable(id),
    notifyStart: () => context.crashes.recordStart(state.partSuspects),
  });
  recordCrash(context, request, state, endpoint.record, outcome, sentRun);
  if (isLost(outcome)) logLostRequest(context, request, state, endpoint.record);
  if (outcome.type === 'answered') health.recordSuccess(id);
  if (outcome.type === 'failed' || outcome.type === 'broken') {
    state.possibleRuns += 1;
    if (outcome.isSilent) health.recordUnreachable(id);
    else health.recordFailure(id);
  }
  if (outcome.type === 'notRun' && outcome.cause === 'replaced') endpoints.remove(id);
  if (outcome.type === 'notRun' && outcome.cause === 'unreachable') health.recordUnreachable(id);
  if (outcome.type === 'notRun' && outcome.cause === 'refused') health.recordRefusal(id);
  return outcome;
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
