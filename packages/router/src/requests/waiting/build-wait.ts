import {
  computeLatestStart,
  computeRequestWork,
  type WaitingRequest,
} from '@vanillarelay/scheduling';
import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { RunState } from '../run-state.js';
import { findUrgency } from './find-urgency.js';
import { buildReturnKey } from './build-return-key.js';

/** Builds what the queue of a service knows of a request. */
export function buildWait(
  { clock, queues }: RouterContext,
  request: RoutedRequest,
  state: RunState,
): WaitingRequest {
  const { account, route, facts } = request;
  const queue = queues.find(state.service);
  const now = clock.monotonic();
  const hasRefused = !queue.refusals.isEmpty();
  const refusedAt = hasRefused
    ? queue.refusals.take(buildReturnKey(request, state), now)
    : undefined;
  const wait: WaitingRequest = {
    account: account?.id ?? '',
    urgency: findUrgency(request),
    work: computeRequestWork(facts.promptParts),
    arrivedAt: refusedAt ?? request.startedAt,
    latestStartAt: now,
    isReturning: refusedAt !== undefined || state.result.sends.length > 0,
  };
  const placesPerMs = queue.readPlacesPerMs();
  const expectedMs = placesPerMs ? (queue.countAhead(wait) + 1) / placesPerMs : undefined;
  const { objectiveMs } = route;
  const { deadlineAt } = state;
  const { urgency } = wait;
  return {
    ...wait,
    latestStartAt: computeLatestStart({ now, objectiveMs, deadlineAt, urgency, expectedMs }),
  };
}
