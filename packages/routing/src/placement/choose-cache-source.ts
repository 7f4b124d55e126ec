import { sortByRendezvous, type EndpointId, type Hash } from '@vanillarelay/core';

interface CacheHolder {
  id: EndpointId;
  /** Time since it started, in milliseconds. */
  ageMs: number;
}

/** Time after its start during which an endpoint is still filling its cache. */
const cacheFillMs = 30_000;
/** Endpoints whose starts differ by less are taken to have started together. */
const startToleranceMs = 5_000;

/**
 * Chooses the endpoint from which the chosen one may copy the cached part of a prompt instead of
 * processing it again. Normally a prompt is processed at its home, the first endpoint in its
 * rendezvous order. The source is the home when the request is sent to another endpoint, and the
 * former home when the home started after it. Endpoints that are leaving are included, as they
 * still hold their cache. Where homes are weighted, `readWeight` returns the weights.
 */
export function chooseCacheSource(
  holders: readonly CacheHolder[],
  key: string,
  chosen: EndpointId,
  hash: Hash,
  readWeight?: (id: EndpointId) => number,
): EndpointId | undefined {
  const ages = new Map(holders.map(({ id, ageMs }) => [id, ageMs]));
  const readAge = (id: EndpointId): number => ages.get(id) ?? 0;
  const order = sortByRendezvous(hash, key, [...ages.keys()], readWeight);
  const chosenAgeMs = readAge(chosen);
  const isHome = order[0] === chosen;
  if (isHome && chosenAgeMs >= cacheFillMs) return undefined;
  const isFormerHome = (ageMs: number) => ageMs > chosenAgeMs + startToleranceMs;
  const isFilled = (ageMs: number) =>
    ageMs >= cacheFillMs || ageMs + startToleranceMs >= chosenAgeMs;
  const mayHold = isHome ? isFormerHome : isFilled;
  return order.find((id) => id !== chosen && mayHold(readAge(id)));
}
