import type { Choice } from '../placing/choice.js';
import { selectEndpoint } from '../placing/select-endpoint.js';
import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { RunState } from '../run-state.js';
import { isScheduled } from './is-scheduled.js';
import { waitForTurn } from './wait-for-turn.js';
import { waitInQueue } from './wait-in-queue.js';

/**
 * Share of the route's target response time (`objectiveMs`) for which a request waits for capacity
 * before it is refused, where requests are not scheduled.
 */
const waitShare = 0.5;
const capacityPollIntervalMs = 15;

/**
 * Calls `proceed` with the endpoint for a request once one has capacity, or with why none takes it.
 * It is called at once, before anything else is awaited: the next choice must see this one's load.
 */
export async function waitForEndpoint<T>(
  context: RouterContext,
  request: RoutedRequest,
  state: RunState,
  proceed: (choice: Choice) => Promise<T>,
): Promise<T> {
  if (isScheduled(context)) return waitInQueue(context, request, state, proceed);
  const { clock } = context;
  const { result, signal } = state;
  const waitUntil = clock.monotonic() + request.route.objectiveMs * waitShare;
  for (;;) {
    await waitForTurn(context, request, state);
    const choice = selectEndpoint(context, request, state, waitUntil);
    if (choice) return proceed(choice);
    await clock.wait(capacityPollIntervalMs, signal);
    result.waitedMs = (result.waitedMs ?? 0) + capacityPollIntervalMs;
  }
}
