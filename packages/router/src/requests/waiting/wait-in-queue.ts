import { ResultCode } from '@vanillarelay/core';
import type { Offer, WaitingRequest } from '@vanillarelay/scheduling';
import type { Choice } from '../placing/choice.js';
import { selectEndpoint } from '../placing/select-endpoint.js';
import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { RunState } from '../run-state.js';
import { addRetryAfter } from './add-retry-after.js';
import { buildWait } from './build-wait.js';
import type { QueuedRequest } from './queued-request.js';
import { waitForTurn } from './wait-for-turn.js';
import type { WaitRefusal } from './wait-refusal.js';

/**
 * Calls `proceed` with the endpoint for a request, in the order of the queue of its service, or with
 * why none takes it. It is called in the same step as the choice, before anything is awaited.
 */
export async function waitInQueue<T>(
  context: RouterContext,
  request: RoutedRequest,
  state: RunState,
  proceed: (choice: Choice) => Promise<T>,
): Promise<T> {
  await waitForTurn(context, request, state);
  const wait = buildWait(context, request, state);
  const queue = context.queues.find(state.service);
  queue.recordArrival(wait.urgency);
  if (!queue.hasBefore(wait.urgency)) {
    const choice = selectEndpoint(context, request, state, wait.latestStartAt);
    if (choice) return proceed(addRetryAfter(context, request, state, wait, choice));
  }
  return new Promise((resolve, reject) => {
    const end = (choice: Choice): void => {
      proceed(choice).then(resolve, reject);
    };
    startWait(context, request, state, wait, { end, fail: reject });
  });
}

interface WaitCallbacks {
  /** Called once, when the request gets a place or is refused. */
  end: (choice: Choice) => void;
  /** Called instead with an unexpected error. */
  fail: (error: unknown) => void;
}

/** Puts a request in the queue of its service. */
function startWait(
  context: RouterContext,
  request: RoutedRequest,
  state: RunState,
  wait: WaitingRequest,
  { end, fail }: WaitCallbacks,
): void {
  const { clock, queues } = context;
  const { result, signal } = state;
  const queue = queues.find(state.service);
  const startedAt = clock.monotonic();
  const removeQueued = (): void => {
    signal.removeEventListener('abort', cancelWait);
    queue.remove(queued);
  };
  const endWait = (choice: Choice): void => {
    removeQueued();
    const waitedMs = Math.round(clock.monotonic() - startedAt);
    result.waitedMs = (result.waitedMs ?? 0) + waitedMs;
    // A request that was interrupted is not refused for want of a place.
    end(signal.aborted ? choice : addRetryAfter(context, request, state, queued, choice));
  };
  const start = (): Offer => {
    let choice: Choice | undefined;
    try {
      choice = selectEndpoint(context, request, state, wait.latestStartAt);
    } catch (error) {
      // An error of one request must not stop the queue for the others.
      removeQueued();
      fail(error);
      return 'taken';
    }
    if (!choice) return findObstacle(state);
    // The time may have run out since the queue was looked through.
    const isOver = 'code' in choice && clock.monotonic() >= wait.latestStartAt;
    if (isOver) refuse({ rule: 'waitOver', ahead: 0 });
    else endWait(choice);
    return 'taken';
  };
  const refuse = (refusal: WaitRefusal): void => {
    if (!signal.aborted) queue.recordRefusal(refusal.rule);
    endWait(toChoice(refusal, state));
  };
  // Why it was interrupted is found before anything is done with the choice.
  const cancelWait = (): void => refuse({ rule: 'waitOver', ahead: 0 });
  const queued: QueuedRequest = { ...wait, start, refuse };
  signal.addEventListener('abort', cancelWait, { once: true });
  const { refusal, ahead, expectedMs } = queue.admit(queued);
  const expected = expectedMs === undefined ? {} : { expectedMs: Math.round(expectedMs) };
  result.waits = [...(result.waits ?? []), { urgency: wait.urgency, ahead, ...expected }];
  if (refusal) refuse({ rule: refusal, ahead, ...expected });
  else if (signal.aborted) cancelWait();
}

/** Why a request did not take a place. */
function findObstacle({ tried, heldBackBy }: RunState): Offer {
  if (heldBackBy === 'reserved' || heldBackBy === 'share') return 'noShare';
  return tried.size > 0 || heldBackBy === 'memory' ? 'unsuited' : 'noPlace';
}

function toChoice(refusal: WaitRefusal, { passedOver = {} }: RunState): Choice {
  const reason = `no place in time ${JSON.stringify(refusal)}`;
  return { code: ResultCode.endpointBusy, reason, passedOver };
}
