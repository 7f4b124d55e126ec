import { ResultCode } from '@vanillarelay/core';
import { computeRetryAfter, type WaitingRequest } from '@vanillarelay/scheduling';
import { maxRetryAfterMs } from '../ending/max-retry-after-ms.js';
import type { Choice } from '../placing/choice.js';
import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { RunState } from '../run-state.js';
import { buildReturnKey } from './build-return-key.js';

/** Part of the time left after which callers come back, on average, when no endpoint takes work. */
const noEndpointShare = 0.25;

/** Adds to a refusal when the caller should come back, and remembers the caller until then. */
export function addRetryAfter(
  { clock, random, queues }: RouterContext,
  request: RoutedRequest,
  state: RunState,
  wait: WaitingRequest,
  choice: Choice,
): Choice {
  if (!('code' in choice)) return choice;
  const queue = queues.find(state.service);
  const now = clock.monotonic();
  const leftMs = state.deadlineAt - now;
  const isNoEndpoint = choice.code === ResultCode.noEndpoint;
  const roomInMs = isNoEndpoint ? leftMs * noEndpointShare : (choice.retryAfterMs ?? 0);
  const computedMs = computeRetryAfter({
    ahead: queue.countAhead(wait) + queue.refusals.count(now),
    placesPerMs: queue.readPlacesPerMs(),
    ...{ roomInMs, leftMs, random },
  });
  // Cutting longer times at the limit would send all these callers back at the same instant.
  const cutMs = (maxRetryAfterMs * (1 + random())) / 2;
  const retryAfterMs = computedMs > maxRetryAfterMs ? cutMs : computedMs;
  if (state.possibleRuns === 0)
    queue.refusals.record(buildReturnKey(request, state), wait.arrivedAt, retryAfterMs, now);
  return { ...choice, retryAfterMs };
}
