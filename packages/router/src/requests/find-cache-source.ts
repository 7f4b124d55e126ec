import type { EndpointId, ServiceId } from '@vanillarelay/core';
import { chooseCacheSource } from '@vanillarelay/routing';
import type { RouterParts } from './router-parts.js';

/** Endpoints that joined within this time are still filling their cache. */
const youngMs = 30_000;

/** Address of an endpoint that should hold the prompt when the chosen one does not. */
export function findCacheSource(
  { clock, endpoints, health, hash }: RouterParts,
  service: ServiceId,
  key: string,
  chosen: EndpointId,
): string | undefined {
  const since = clock.monotonic() - youngMs;
  const holders = endpoints
    .listService(service)
    .filter(({ record }) => !record.isSilent && !health.isAvoided(record.id))
    .map(({ record, firstSeenAt }) => ({ id: record.id, isYoung: firstSeenAt > since }));
  const source = chooseCacheSource(holders, key, chosen, hash);
  return source && endpoints.find(source)?.record.address;
}
