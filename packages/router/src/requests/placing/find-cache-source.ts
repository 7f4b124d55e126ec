import type { EndpointId, ServiceId } from '@vanillarelay/core';
import { chooseCacheSource } from '@vanillarelay/routing';
import type { RouterContext } from '../router-context.js';

/** Address of an endpoint that probably has the prompt cached, if the chosen endpoint does not. */
export function findCacheSource(
  { clock, endpoints, health, hash, workPlacement }: RouterContext,
  service: ServiceId,
  key: string,
  chosen: EndpointId,
): string | undefined {
  const now = clock.now();
  const monotonicNow = clock.monotonic();
  const holders = endpoints
    .listService(service)
    .filter(({ record }) => !record.isSilent && !health.isAvoided(record.id))
    .map(({ record: { id, bornAt }, firstSeenAt }) => ({
      id,
      ageMs: bornAt > 0 ? now - bornAt : monotonicNow - firstSeenAt,
    }));
  const readWeight = workPlacement.isEnabled(service) ? workPlacement.readWeight : undefined;
  const source = chooseCacheSource(holders, key, chosen, hash, readWeight);
  return source && endpoints.find(source)?.record.address;
}
