import { ResultCode, type EndpointId } from '@vanillarelay/core';
import { chooseEndpoint } from '@vanillarelay/routing';
import { listCandidates } from './list-candidates.js';
import type { RoutedRequest } from './routed-request.js';
import type { RouterContext } from './router-context.js';
import type { RunState } from './run-state.js';

const capacityPollIntervalMs = 15;
/**
 * Share of the route's target response time (`objectiveMs`) for which a request waits for capacity
 * before it is refused.
 */
const waitShare = 0.5;

type Choice = (
  { id: EndpointId; reason: string } | { code: ResultCode; reason: string; retryAfterMs?: number }
) & {
  passedOver: object;
};

/**
 * Chooses an endpoint. When all are full, or started recently (cold) and already receive as many
 * requests as a cold endpoint may, waits up to a share of the route's target response time. When no
 * endpoint can have capacity by then, the request is refused at once.
 */
export async function waitForEndpoint(
  context: RouterContext,
  { table, route }: RoutedRequest,
  { service, tried, signal, result, affinityKey }: RunState,
): Promise<Choice> {
  const { clock, hash, random, dataCentre } = context;
  const waitUntil = clock.monotonic() + route.objectiveMs * waitShare;
  for (;;) {
    await context.sendQueue.waitForTurn();
    const { open, total, meanLoad, waitMs, passedOver } = listCandidates(
      context,
      service,
      table.findService(service),
    );
    const placement = chooseEndpoint(
      open,
      { tried, meanLoad, ...(affinityKey === undefined ? {} : { affinityKey }) },
      { hash, random, dataCentre },
    );
    if (placement) return { ...placement, passedOver };
    if (total === 0)
      return { code: ResultCode.noEndpoint, reason: 'no endpoint takes work', passedOver };
    if (tried.size >= total)
      return { code: ResultCode.noEndpoint, reason: 'all were tried', passedOver };
    if (waitMs > 0 && clock.monotonic() + waitMs > waitUntil) {
      const reason = 'all are at their rate limit';
      return { code: ResultCode.endpointBusy, reason, retryAfterMs: waitMs, passedOver };
    }
    if (signal.aborted || clock.monotonic() >= waitUntil) {
      return { code: ResultCode.endpointBusy, reason: 'all are full or cold', passedOver };
    }
    await clock.wait(capacityPollIntervalMs, signal);
    result.waitedMs = (result.waitedMs ?? 0) + capacityPollIntervalMs;
  }
}
