import type { EndpointId } from '@vanillarelay/core';
import { recordCrash } from '../crashes/record-crash.js';
import { findCacheSource } from '../placing/find-cache-source.js';
import { hasAlternative } from '../placing/has-alternative.js';
import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { RunState } from '../run-state.js';
import { startUse } from '../waiting/start-use.js';
import type { AttemptOutcome } from './attempt-outcome.js';
import { isLost } from './is-lost.js';
import { isRepeatable } from './is-repeatable.js';
import { logLostRequest } from './log-lost-request.js';
import { runAttempt } from './run-attempt.js';

/** Sends a request to an endpoint and records what the outcome says about that endpoint. */
export async function sendRequest(
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
  const endUse = startUse(context, request, state, id);
  const outcome = await runAttempt(context, {
    ...{ request, deadlineAt, signal, progress, isLast },
    cacheSource: readCacheSource(context, request, state, id),
    record: endpoint.record,
    hasAlternative: () => hasAlternative(context, request, state),
    recordSilence: () => health.recordUnreachable(id),
    notifyStart: () => context.crashes.recordStart(state.partSuspects),
  });
  endUse(outcome.type !== 'notRun');
  recordCrash(context, request, state, endpoint.record, outcome, sentRun);
  if (isLost(outcome)) logLostRequest(context, request, state, endpoint.record);
  recordOutcome(context, state, id, outcome);
  return outcome;
}

function recordOutcome(
  { endpoints, health }: RouterContext,
  state: RunState,
  id: EndpointId,
  outcome: AttemptOutcome,
): void {
  if (outcome.type === 'answered') health.recordSuccess(id);
  if (outcome.type === 'failed' || outcome.type === 'broken') {
    state.possibleRuns += 1;
    if (outcome.isSilent) health.recordUnreachable(id);
    else health.recordFailure(id);
  }
  if (outcome.type !== 'notRun') return;
  if (outcome.cause === 'replaced') endpoints.remove(id);
  if (outcome.cause === 'unreachable') health.recordUnreachable(id);
  if (outcome.cause === 'refused') health.recordRefusal(id);
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
