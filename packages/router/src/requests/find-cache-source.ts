import type { EndpointId, ServiceId } from '@vanillarelay/core';
import { chooseCacheSource } from '@vanillarelay/routing';
import type { RouterContext } from './router-context.js';

/** Time after an endpoint joins during which it is still filling its cache. */
const cacheFillMs = 30_000;

/** Address of an endpoint that probably has the prompt cached, if the chosen endpoint does not. */
export function findCacheSource(
  { clock, endpoints, health, hash }: RouterContext,
  service: ServiceId,
  key: string,
  chosen: EndpointId,
): string | undefined {
  const since = clock.monotonic() - cacheFillMs;
  const holders = endpoints
    .listService(service)
    .filter(({ record }) => !record.isSilent && !health.isAvoided(record.id))
    .map(({ record, firstSeenAt }) => ({ id: record.id, isRecentlyJoined: firstSeenAt > since }));
  const source = chooseCacheSource(holders, key, chosen, hash);
  return source && endpoints.find(source)?.record.address;
}
