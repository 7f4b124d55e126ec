import { sortByRendezvous, type EndpointId, type Hash } from '@vanillarelay/core';

interface CacheHolder {
  id: EndpointId;
  /** Whether it joined so recently that its prompts are still cached at their former homes. */
  isYoung: boolean;
}

/**
 * Chooses the endpoint from which the chosen one may copy the cached part of a prompt instead of
 * processing it again: the prompt's home when the request is sent elsewhere, or its former home
 * when the home has just joined. Endpoints that are leaving are included, as they still hold their
 * cache.
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
  const young = new Set(holders.filter(({ isYoung }) => isYoung).map(({ id }) => id));
  if (order[0] === chosen && !young.has(chosen)) return undefined;
  return order.find((id) => id !== chosen && !young.has(id));
}
