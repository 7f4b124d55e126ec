import type { EndpointId, Hash } from '@vanillarelay/core';
import { createRecentMap } from '../cost/create-recent-map.js';

interface HomeOrderOptions {
  hash: Hash;
  /** Weight of an endpoint in the order. */
  readWeight: (id: EndpointId) => number;
}

const hashRange = 2 ** 32;
/** Number of endpoints of an order that are kept. */
const keptCount = 12;
/** Number of prompts whose order is kept. */
const maxKeys = 1_024;
/** Endpoints that have left are dropped once they are as many as those that are there. */
const maxKnownFactor = 2;

/**
 * Creates the weighted rendezvous order of the prompts of one service: the first endpoints for a key,
 * selected without sorting all, and kept until an endpoint joins or its weight changes. With equal
 * weights the order is that of unweighted rendezvous hashing.
 */
export function createHomeOrder({ hash, readWeight }: HomeOrderOptions) {
  const weights = new Map<EndpointId, number>();
  let orders = createRecentMap<string, EndpointId[]>(maxKeys);

  /** Takes in endpoints that joined and weights that changed. */
  const update = (ids: readonly EndpointId[]): void => {
    let isChanged = weights.size > maxKnownFactor * ids.length;
    if (isChanged) weights.clear();
    ids.forEach((id) => {
      const weight = readWeight(id);
      if (weights.get(id) === weight) return;
      weights.set(id, weight);
      isChanged = true;
    });
    if (isChanged) orders = createRecentMap(maxKeys);
  };

  const select = (key: string): EndpointId[] => {
    const first: EndpointId[] = [];
    const ranks: number[] = [];
    weights.forEach((weight, id) => {
      const draw = (hash(`${id}\n${key}`) + 0.5) / hashRange;
      const rank = -Math.log(draw) / weight;
      if (ranks.length === keptCount && rank > (ranks[keptCount - 1] ?? 0)) return;
      const later = ranks.findIndex(
        (other, index) => rank < other || (rank === other && id < (first[index] ?? '')),
      );
      const position = later < 0 ? ranks.length : later;
      ranks.splice(position, 0, rank);
      first.splice(position, 0, id);
      ranks.length = Math.min(keptCount, ranks.length);
      first.length = ranks.length;
    });
    return first;
  };

  return {
    /** Lists the first endpoints for a key, among these and some that may have left. */
    listFirst: (key: string, ids: readonly EndpointId[]): readonly EndpointId[] => {
      update(ids);
      const known = orders.get(key);
      if (known) return known;
      const first = select(key);
      orders.set(key, first);
      return first;
    },
  };
}
