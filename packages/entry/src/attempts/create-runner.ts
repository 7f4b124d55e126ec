import {
  RelayError,
  ResultCode,
  type AgentClient,
  type AttemptId,
  type Clock,
  type ControlClient,
  type EndpointId,
  type Hash,
  type Hlc,
  type Id,
  type Random,
  type Timeline,
} from '@vanillarelay/core';
import type { Link } from '@vanillarelay/link';
import { createCandidateLists } from '../placement/create-candidate-lists.js';
import type { PlacementStrategy } from '../placement/placement-strategy.js';
import type { ParsedRequest } from '../requests/parsed-request.js';
import { computeBackoff } from './compute-backoff.js';
import { createAvoidList } from './create-avoid-list.js';
import { createDispatcher } from './create-dispatcher.js';
import { createInFlightCalls } from './create-in-flight-calls.js';
import { createRetryState } from './create-retry-state.js';
import { createRetryBudget } from './create-retry-budget.js';
import type { DispatchOutcome } from './dispatch-outcome.js';
import type { RetryState } from './retry-state.js';
import { handleRefusal } from './handle-refusal.js';
import { voidAttempt } from './void-attempt.js';

interface RunnerOptions {
  clock: Clock;
  random: Random;
  hash: Hash;
  hlc: Hlc;
  timeline: Timeline;
  createId: <T extends Id<string>>() => T;
  link: Pick<Link, 'readView' | 'readContact' | 'receiveVersion'>;
  openAgent: (address: string) => AgentClient;
  propose: ControlClient['propose'];
  place: PlacementStrategy;
}

/**
 * Maximum number of dispatches in a round, to bound the cost of a request. A round ends at this
 * limit or when all endpoints were tried; after a pause, the next round may try all of them again.
 */
const maxDispatchesPerRound = 5;
const maxRounds = 3;
/**
 * After this many refusals for lack of capacity, a request waits in the endpoint's queue, because
 * this entry's load figures are outdated until the hub's next periodic update (frame).
 */
const busyRefusalsBeforeQueueing = 2;
/**
 * Maximum time in one endpoint's queue. Exceeds the interval between load updates, and is short
 * enough to notice capacity at other endpoints.
 */
const busyQueueTimeoutMs = 1_000;
/** A `mustArrive` request may wait only below this count; each one keeps its body in memory. */
const maxWaitingRequests = 2_000;
const busyRetryAfterMs = 500;

/**
 * Creates the runner, which sends a request to an endpoint, and to others when that one refuses it
 * or is lost. A request that is not idempotent runs at most once.
 */
export function createRunner(options: RunnerOptions) {
  const { clock, random, hash, timeline, createId, link, propose, place } = options;
  const candidateLists = createCandidateLists();
  const retryBudget = createRetryBudget({ clock });
  const inFlightCalls = createInFlightCalls({ clock, readView: link.readView });
  const readStateVersion = () => link.readView().state?.version ?? 0;
  const dispatch = createDispatcher({
    ...options,
    inFlightCalls,
    readStateVersion,
    receiveVersion: link.receiveVersion,
  });
  const avoidList = createAvoidList({ clock });
  let waitingCount = 0;

  const choosePlacement = (request: ParsedRequest, retryState: RetryState) => {
    if (retryState.dispatches >= maxDispatchesPerRound || link.readContact() === 'isolated') {
      return undefined;
    }
    const view = link.readView();
    const input = {
      chatKey: request.chat && `${request.account}/${request.chat}`,
      candidates: candidateLists.read(view, request.service),
      tried: retryState.tried,
      holder: retryState.holder,
      isHolderLookupDone: retryState.isHolderLookupDone,
      readLoad: (endpoint: EndpointId) =>
        (view.loads.get(endpoint) ?? 0) + inFlightCalls.count(endpoint),
      hash,
      random,
    };
    const tried = avoidList.merge(retryState.tried);
    // Fall back to an endpoint on the avoid list when there is no other.
    return place({ ...input, tried }) ?? (tried === input.tried ? undefined : place(input));
  };

  /** Waits for the next round, in which all endpoints may be tried again, or throws. */
  const waitForRound = async (
    request: ParsedRequest,
    retryState: RetryState,
    remainingMs: number,
    signal: AbortSignal,
  ): Promise<void> => {
    const { lastRefusal, failures, round } = retryState;
    // Waiting for capacity costs at most one dispatch a second, so it needs no retry budget.
    const canWait = request.mustArrive
      ? waitingCount < maxWaitingRequests
      : lastRefusal !== undefined &&
        (retryState.busyRefusals > 0 || (round + 1 < maxRounds && retryBudget.spend()));
    if (!canWait) {
      throw new RelayError(
        lastRefusal?.code ?? ResultCode.noEndpoint,
        lastRefusal?.message ?? `no endpoint of service '${request.service}' can take the request`,
        { notRun: failures === 0, retryAfterMs: lastRefusal?.retryAfterMs ?? busyRetryAfterMs },
      );
    }
    waitingCount += 1;
    const backoffMs = computeBackoff(round, random, lastRefusal?.retryAfterMs);
    await clock.wait(Math.min(remainingMs, backoffMs), signal);
    waitingCount -= 1;
    const { busyRefusals } = retryState;
    Object.assign(retryState, createRetryState(), {
      lastRefusal,
      failures,
      busyRefusals,
      round: round + 1,
    });
  };

  /**
   * Asks the control group to void a non-idempotent attempt whose agent was lost, so that it can
   * never run. If that succeeds, the attempt has not run; otherwise its outcome is unknown.
   */
  const resolveLostAttempt = async (
    request: ParsedRequest,
    attemptId: AttemptId,
    outcome: DispatchOutcome,
  ): Promise<DispatchOutcome> => {
    if (outcome.type === 'answer' || !outcome.isContactLost) return outcome;
    const { refusal } = outcome;
    const isSettled = refusal.notRun || request.idempotent;
    if (isSettled || refusal.code === ResultCode.cancelled) return outcome;
    const { isVoided } = await voidAttempt({ clock, random, propose }, request, attemptId);
    // `granted` is false when the attempt may already have run, or control did not answer.
    timeline.record('attempt.voided', { granted: isVoided }, request.requestId);
    const resolvedRefusal = isVoided
      ? { ...refusal, notRun: true }
      : {
          code: ResultCode.outcomeUnknown,
          message: `${refusal.message}; the request may have run, resend it with the same Idempotency-Key to get its answer`,
          notRun: false,
          retryAfterMs: busyRetryAfterMs,
        };
    return { ...outcome, refusal: resolvedRefusal };
  };

  const run = async (request: ParsedRequest, signal: AbortSignal) => {
    const deadlineAt = clock.monotonic() + request.deadlineMs;
    const retryState = createRetryState();
    retryBudget.recordRequest();
    while (true) {
      const remainingMs = deadlineAt - clock.monotonic();
      checkActive(retryState, remainingMs, signal);
      const placement = choosePlacement(request, retryState);
      if (!placement) {
        await waitForRound(request, retryState, remainingMs, signal);
        continue;
      }
      const { member, takeOver } = placement;
      const attemptId = createId<AttemptId>();
      timeline.record('request.dispatched', { endpoint: member.id, takeOver }, request.requestId);
      // Maximum time in the endpoint's queue; if undefined, the agent decides.
      const patienceMs =
        retryState.busyRefusals >= busyRefusalsBeforeQueueing ? busyQueueTimeoutMs : undefined;
      const attempt = { request, attemptId, member, takeOver, patienceMs, remainingMs };
      const result = await dispatch(attempt, signal);
      const isLost = result.type === 'refusal' && result.isContactLost;
      if (isLost && result.refusal.code === ResultCode.connectionFailed) avoidList.add(member.id);
      const outcome = await resolveLostAttempt(request, attemptId, result);
      if (outcome.type === 'answer') return outcome;
      const { refusal } = outcome;
      const { code, notRun } = refusal;
      timeline.record('request.refused', { endpoint: member.id, code, notRun }, request.requestId);
      handleRefusal(retryState, {
        request,
        endpoint: member.id,
        refusal,
        // An attempt that no agent received caused no load.
        spendRetry: isLost && result.refusal.notRun ? () => true : retryBudget.spend,
      });
    }
  };

  return { run, inFlightCalls };
}

/** Throws when the caller has closed the connection or the deadline has passed. */
function checkActive(
  { failures, lastRefusal }: RetryState,
  remainingMs: number,
  signal: AbortSignal,
): void {
  const notRun = failures === 0;
  if (signal.aborted) {
    throw new RelayError(ResultCode.cancelled, 'the caller closed the connection', {
      notRun,
      retryAfterMs: 0,
    });
  }
  if (remainingMs > 0) return;
  const reason = lastRefusal ? `, last refusal: ${lastRefusal.message}` : '';
  throw new RelayError(ResultCode.deadlineExceeded, `deadline passed${reason}`, {
    notRun,
    retryAfterMs: lastRefusal?.retryAfterMs ?? busyRetryAfterMs,
  });
}
