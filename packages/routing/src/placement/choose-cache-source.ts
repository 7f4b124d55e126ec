import { sortByRendezvous, type EndpointId, type Hash } from '@vanillarelay/core';

interface CacheHolder {
  id: EndpointId;
  /** Whether it joined so recently that its prompts are still cached at their former homes. */
  isRecentlyJoined: boolean;
}

/**
 * Chooses the endpoint from which the chosen one may copy the cached part of a prompt instead of
 * processing it again. Normally a prompt is processed at its home, the first endpoint in its
 * rendezvous order. The source is the home when the request is sent to another endpoint, and the
 * former home when the home has just joined. Endpoints that are leaving are included, as they still
 * hold their cache.
 */
export function chooseCacheSource(
  holders: readonly CacheHolder[],
  key: string,
  chosen: EndpointId,
  hash: Hash,
): EndpointId | undefined {
  const order = sortByRendezvous(
    hash,
    key,
    holders.map(({ id }) => id),
  );
  const recentlyJoined = new Set(
    holders.filter(({ isRecentlyJoined }) => isRecentlyJoined).map(({ id }) => id),
  );
  if (order[0] === chosen && !recentlyJoined.has(chosen)) return undefined;
  return order.find((id) => id !== chosen && !recentlyJoined.has(id));
}
