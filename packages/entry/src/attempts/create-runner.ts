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
import type { Place } from '../placement/place.js';
import type { ParsedRequest } from '../requests/parsed-request.js';
import { computeBackoff } from './compute-backoff.js';
import { createAvoidList } from './create-avoid-list.js';
import { createDispatcher } from './create-dispatcher.js';
import { createFlights } from './create-flights.js';
import { createProgress } from './create-progress.js';
import { createRetryBudget } from './create-retry-budget.js';
import type { Dispatched } from './dispatched.js';
import type { Progress } from './progress.js';
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
  place: Place;
}

/** Dispatches after which a round ends even if endpoints are left, to bound a request's cost. */
const dispatchesPerRound = 5;
const highestRounds = 3;
/**
 * After this many endpoints without room the request queues at each further one: the bound follows
 * the mean, which rises with the next frames, so a refusal would be needless.
 */
const busyRefusalsBeforeWait = 2;
/** Longer than a frame; a longer queue at one endpoint would miss room at the others. */
const busyPatienceMs = 1_000;
/** Requests of must-arrive kinds that may wait here for room; each holds its body in memory. */
const highestWaiting = 2_000;
const busyRetryAfterMs = 500;

/** Makes the function that finds an endpoint for a request and runs it there, at most once if it must. */
export function createRunner(options: RunnerOptions) {
  const { clock, random, hash, timeline, createId, link, propose, place } = options;
  const lists = createCandidateLists();
  const budget = createRetryBudget({ clock });
  const flights = createFlights({ clock, readView: link.readView });
  const readStateVersion = () => link.readView().state?.version ?? 0;
  const dispatch = createDispatcher({
    ...options,
    flights,
    readStateVersion,
    receiveVersion: link.receiveVersion,
  });
  const avoided = createAvoidList({ clock });
  let waiting = 0;

  const choosePlacement = (request: ParsedRequest, progress: Progress) => {
    if (progress.dispatches >= dispatchesPerRound || link.readContact() === 'isolated') {
      return undefined;
    }
    const view = link.readView();
    const input = {
      chatKey: request.chat && `${request.account}/${request.chat}`,
      candidates: lists.read(view, request.service),
      tried: progress.tried,
      holder: progress.holder,
      isHomeAsked: progress.isHomeAsked,
      readLoad: (endpoint: EndpointId) => (view.loads.get(endpoint) ?? 0) + flights.count(endpoint),
      hash,
      random,
    };
    const tried = avoided.addTo(progress.tried);
    // An endpoint to avoid is better than none.
    return place({ ...input, tried }) ?? (tried === input.tried ? undefined : place(input));
  };

  /** Waits until every endpoint may be asked again, or throws when the request cannot wait. */
  const waitForRound = async (
    request: ParsedRequest,
    progress: Progress,
    remainingMs: number,
    signal: AbortSignal,
  ): Promise<void> => {
    const { last, failures, round } = progress;
    // A request that waited for room costs a dispatch a second at most, and needs no retry budget.
    const canWait = request.mustArrive
      ? waiting < highestWaiting
      : last !== undefined &&
        (progress.busyRefusals > 0 || (round + 1 < highestRounds && budget.spend()));
    if (!canWait) {
      throw new RelayError(
        last?.code ?? ResultCode.noEndpoint,
        last?.message ?? `no endpoint of service '${request.service}' can take the request`,
        { notRun: failures === 0, retryAfterMs: last?.retryAfterMs ?? busyRetryAfterMs },
      );
    }
    waiting += 1;
    const backoffMs = computeBackoff(round, random, last?.retryAfterMs);
    await clock.wait(Math.min(remainingMs, backoffMs), signal);
    waiting -= 1;
    const { busyRefusals } = progress;
    Object.assign(progress, createProgress(), { last, failures, busyRefusals, round: round + 1 });
  };

  /** Turns lost contact with a request that must not run twice into certainty, where it can. */
  const resolveLost = async (
    request: ParsedRequest,
    attemptId: AttemptId,
    dispatched: Dispatched,
  ): Promise<Dispatched> => {
    if (dispatched.type === 'answer' || !dispatched.isContactLost) return dispatched;
    const { refusal } = dispatched;
    const isSettled = refusal.notRun || request.idempotent;
    if (isSettled || refusal.code === ResultCode.cancelled) return dispatched;
    const { isVoided } = await voidAttempt({ clock, random, propose }, request, attemptId);
    timeline.record('attempt.voided', { granted: isVoided }, request.requestId);
    const outcome = isVoided
      ? { ...refusal, notRun: true }
      : {
          code: ResultCode.outcomeUnknown,
          message: `${refusal.message}; the request may have run, a resend with the same Idempotency-Key gets its answer`,
          notRun: false,
          retryAfterMs: busyRetryAfterMs,
        };
    return { ...dispatched, refusal: outcome };
  };

  const run = async (request: ParsedRequest, signal: AbortSignal) => {
    const deadlineAt = clock.monotonic() + request.deadlineMs;
    const progress = createProgress();
    budget.recordRequest();
    while (true) {
      const remainingMs = deadlineAt - clock.monotonic();
      checkWaiting(progress, remainingMs, signal);
      const placement = choosePlacement(request, progress);
      if (!placement) {
        await waitForRound(request, progress, remainingMs, signal);
        continue;
      }
      const { member, takeOver } = placement;
      const attemptId = createId<AttemptId>();
      timeline.record('request.dispatched', { endpoint: member.id, takeOver }, request.requestId);
      const patienceMs =
        progress.busyRefusals >= busyRefusalsBeforeWait ? busyPatienceMs : undefined;
      const attempt = { request, attemptId, member, takeOver, patienceMs, remainingMs };
      const first = await dispatch(attempt, signal);
      const isLost = first.type === 'refusal' && first.isContactLost;
      if (isLost && first.refusal.code === ResultCode.connectionFailed) avoided.add(member.id);
      const dispatched = await resolveLost(request, attemptId, first);
      if (dispatched.type === 'answer') return dispatched;
      const { refusal } = dispatched;
      const { code, notRun } = refusal;
      timeline.record('request.refused', { endpoint: member.id, code, notRun }, request.requestId);
      handleRefusal(progress, {
        request,
        endpoint: member.id,
        refusal,
        // An attempt that was never received has loaded nothing.
        spendRetry: isLost && first.refusal.notRun ? () => true : budget.spend,
      });
    }
  };

  return { run, flights };
}

function checkWaiting(
  { failures, last }: Progress,
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
  const reason = last ? `, last refusal: ${last.message}` : '';
  throw new RelayError(ResultCode.deadlineExceeded, `deadline passed${reason}`, {
    notRun,
    retryAfterMs: last?.retryAfterMs ?? busyRetryAfterMs,
  });
}
