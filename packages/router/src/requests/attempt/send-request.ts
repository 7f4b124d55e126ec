import type { EndpointId } from '@vanillarelay/core';
import { recordCrash } from '../crashes/record-crash.js';
import { findCacheSource } from '../placing/find-cache-source.js';
import type { Choice } from '../placing/choice.js';
import { hasAlternative } from '../placing/has-alternative.js';
import type { RunningWork } from '../placing/running-work.js';
import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { RunState } from '../run-state.js';
import { startUse } from '../waiting/start-use.js';
import type { AttemptOutcome } from './attempt-outcome.js';
import { isLost } from './is-lost.js';
import { isRepeatable } from './is-repeatable.js';
import { logLostRequest } from './log-lost-request.js';
import { recordVersionOutcome } from './record-version-outcome.js';
import { runAttempt } from './run-attempt.js';

interface SendResult {
  outcome: AttemptOutcome;
  /** Expected and seen time to the first event, where known. */
  times?: ReturnType<RunningWork['readTimes']>;
}

/** Sends a request to an endpoint and records what the outcome says about that endpoint. */
export async function sendRequest(
  context: RouterContext,
  request: RoutedRequest,
  state: RunState,
  { id, expectation }: Extract<Choice, { id: EndpointId }>,
): Promise<SendResult> {
  const { clock, endpoints, health, coldRateLimiter, rateLimiter, notices } = context;
  const endpoint = endpoints.find(id);
  if (!endpoint)
    return { outcome: { type: 'notRun', reason: 'endpoint has left', cause: 'departed' } };
  const { tried, deadlineAt, signal, progress, possibleRuns } = state;
  if (endpoint.coldUntil > clock.monotonic()) coldRateLimiter.record(id);
  rateLimiter.record(id);
  notices.recordSend(id);
  context.rollouts?.recordSend(state.service, endpoint.record.version);
  tried.add(id);
  const isLast = !isRepeatable(request) || possibleRuns + 1 >= request.route.maxEndpoints;
  const work = expectation && context.workPlacement.startWork(id, expectation, state.affinityKey);
  const sentRun = { sentAt: clock.monotonic(), eventsBefore: progress.events };
  let answeredAt: number | undefined;
  const endUse = startUse(context, request, state, id);
  const outcome = await runAttempt(context, {
    ...{ request, deadlineAt, signal, progress, isLast },
    cacheSource: readCacheSource(context, request, state, id),
    record: endpoint.record,
    hasAlternative: (needsFreeSlot) => hasAlternative(context, request, state, needsFreeSlot),
    recordSilence: () => health.recordUnreachable(id),
    notifyStart: () => context.crashes.recordStart(state.partSuspects),
    notifyAnswer: () => {
      answeredAt = clock.monotonic();
      work?.recordFirstEvent();
    },
    recordLoad: (load) => context.workPlacement.recordLoad(state.service, id, load),
  });
  endUse(outcome.type !== 'notRun');
  recordCrash(context, request, state, endpoint.record, outcome, sentRun);
  if (isLost(outcome)) logLostRequest(context, request, state, endpoint.record);
  recordOutcome(context, state, id, outcome);
  const answerMs = answeredAt === undefined ? undefined : answeredAt - sentRun.sentAt;
  recordVersionOutcome(context, request, state, endpoint.record, outcome, answerMs);
  if (!work) return { outcome };
  const events = progress.events - sentRun.eventsBefore;
  work.recordEnd(outcome.type === 'notRun', outcome.type === 'answered' ? events : undefined);
  return { outcome, times: work.readTimes() };
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
