import { ResultCode } from '@vanillarelay/core';
import { chooseService } from '@vanillarelay/routing';
import { buildMemoryNeed } from '@vanillarelay/scheduling';
import { hasArrived } from './attempt/has-arrived.js';
import { isRetryAllowed } from './attempt/is-retry-allowed.js';
import { sendRequest } from './attempt/send-request.js';
import { computeDeadline } from './compute-deadline.js';
import { isBlocked } from './crashes/is-blocked.js';
import { listPartSuspects } from './crashes/list-part-suspects.js';
import { chooseEnding } from './ending/choose-ending.js';
import type { EndCause } from './ending/end-cause.js';
import { endRequest } from './ending/end-request.js';
import { buildAffinityKey } from './placing/build-affinity-key.js';
import type { Choice } from './placing/choice.js';
import type { RequestResult } from './request-result.js';
import type { RoutedRequest } from './routed-request.js';
import type { RouterContext } from './router-context.js';
import type { RunState } from './run-state.js';
import { isScheduled } from './waiting/is-scheduled.js';
import { waitForEndpoint } from './waiting/wait-for-endpoint.js';

const crashing: EndCause = {
  ...{ type: 'notSent', code: ResultCode.crashConvicted },
  reason: 'the request crashes its endpoints',
};

/**
 * Runs a request to completion in stages: it waits for an endpoint, is sent there, is retried where
 * that is allowed, and ends.
 */
export async function runRequest(
  context: RouterContext,
  request: RoutedRequest,
): Promise<RequestResult> {
  const { clock, random, budget, stopSignal } = context;
  const { route, facts, caller } = request;
  const result: RequestResult = { outcome: 'failed', status: 0, sends: [] };
  const service = chooseService(route, random);
  if (service === undefined) {
    const message = 'the route has no service with a positive weight';
    return endRequest(request, result, {
      ...{ type: 'refuse', code: ResultCode.unknownService, message },
    });
  }
  budget.recordRequest(service);
  context.rateLimiter.recordDemand(service);
  context.rollouts?.recordRequest(service);
  const deadlineAt = computeDeadline(request);
  const abortController = new AbortController();
  const abort = () => abortController.abort();
  const cancelTimer = clock.startTimer(deadlineAt - clock.monotonic(), abort);
  caller.signal.addEventListener('abort', abort, { once: true });
  context.running.add(abort);
  if (stopSignal.aborted) abort();
  const memoryNeed = isScheduled(context) ? buildMemoryNeed(facts) : undefined;
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
    ...(memoryNeed ? { memoryNeed } : {}),
  };
  try {
    const cause = await runAttempts(context, request, state);
    return endRequest(request, result, chooseEnding(cause, state));
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
): Promise<EndCause> {
  for (;;) {
    if (isBlocked(context, request, state, false)) return crashing;
    const cause = await waitForEndpoint(context, request, state, (choice) =>
      runChoice(context, request, state, choice),
    );
    if (cause) return cause;
  }
}

/**
 * Sends a request to the chosen endpoint; resolves with why the work on it is over, or with undefined
 * when it may be sent to another one. Nothing is awaited up to the send.
 */
async function runChoice(
  context: RouterContext,
  request: RoutedRequest,
  state: RunState,
  choice: Choice,
): Promise<EndCause | undefined> {
  const interruption = findInterruption(context, request, state);
  if (interruption) return interruption;
  if ('code' in choice) {
    const { code, retryAfterMs, passedOver } = choice;
    const reason = `${choice.reason} ${JSON.stringify(passedOver)}`;
    const cause: EndCause = { type: 'notSent', code, reason };
    return retryAfterMs === undefined ? cause : { ...cause, retryAfterMs };
  }
  // What crashes endpoints may have become known while the request waited.
  if (isBlocked(context, request, state, true)) return crashing;
  if (!spendRetry(context, state)) {
    const reason = 'retry budget spent';
    return { type: 'notSent', code: ResultCode.retryBudgetSpent, reason };
  }
  const { clock } = context;
  const sentAt = clock.monotonic();
  const { outcome, times } = await sendRequest(context, request, state, choice);
  if (hasArrived(outcome)) Object.assign(state, { hasArrived: true, isRetryPaid: false });
  state.lastReason = 'reason' in outcome ? outcome.reason : outcome.type;
  state.result.sends.push({
    endpoint: choice.id,
    reason: choice.reason,
    passedOver: choice.passedOver,
    outcome: state.lastReason,
    afterMs: Math.round(sentAt - request.startedAt),
    ms: Math.round(clock.monotonic() - sentAt),
    ...times,
  });
  if (outcome.type === 'answered') return outcome;
  if (request.caller.signal.aborted) return { type: 'callerLeft' };
  if (state.signal.aborted) return findEndOfTime(context);
  return isRetryAllowed(context, request, state, outcome) ? undefined : { type: 'attemptFailed' };
}

/** Why a request must not be sent now, although an endpoint was chosen for it. */
function findInterruption(
  context: RouterContext,
  request: RoutedRequest,
  { signal, deadlineAt }: RunState,
): EndCause | undefined {
  if (request.caller.signal.aborted) return { type: 'callerLeft' };
  // The timer of the deadline may be as late as the rest.
  const isOver = signal.aborted || context.clock.monotonic() >= deadlineAt;
  return isOver ? findEndOfTime(context) : undefined;
}

function findEndOfTime({ stopSignal }: RouterContext): EndCause {
  return { type: stopSignal.aborted ? 'stopping' : 'deadline' };
}

/** Spends the budget for a retry; an attempt that reached no endpoint leaves it unused. */
function spendRetry({ budget }: RouterContext, state: RunState): boolean {
  const isFirst = !state.hasArrived;
  if (!isFirst && !state.isRetryPaid) state.isRetryPaid = budget.spend(state.service);
  return isFirst || state.isRetryPaid;
}
