import type { Choice } from '../placing/choice.js';
import { selectEndpoint } from '../placing/select-endpoint.js';
import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { RunState } from '../run-state.js';

/**
 * Share of the route's target response time (`objectiveMs`) for which a request waits for capacity
 * before it is refused.
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
  const { clock, sendQueue } = context;
  const { result, signal, deadlineAt } = state;
  const priority = request.account?.priority ?? request.route.priority;
  const startedAt = clock.monotonic();
  const waitUntil = clock.monotonic() + request.route.objectiveMs * waitShare;
  for (;;) {
    await sendQueue.waitForTurn({ priority, deadlineAt, signal });
    const isFirstTurn = result.waitedMs === undefined && result.sends.length === 0;
    if (isFirstTurn) context.recordDelay(request.readDelayMs + clock.monotonic() - startedAt);
    const choice = selectEndpoint(context, request, state, waitUntil);
    if (choice) return proceed(choice);
    await clock.wait(capacityPollIntervalMs, signal);
    result.waitedMs = (result.waitedMs ?? 0) + capacityPollIntervalMs;
  }
}
