import type { Hash } from './hash.js';

/** Finds the first node in the rendezvous order of a key, ignoring `skip`, without sorting. */
export function findRendezvousFirst<T extends string>(
  hash: Hash,
  key: string,
  nodes: readonly T[],
  skip?: ReadonlySet<T>,
): T | undefined {
  let first: T | undefined;
  let highest = -1;
  nodes.forEach((node) => {
    if (skip?.has(node)) return;
    const weight = hash(`${node}\n${key}`);
    if (weight > highest || (weight === highest && first !== undefined && node < first)) {
      first = node;
      highest = weight;
    }
  });
  return first;
}
