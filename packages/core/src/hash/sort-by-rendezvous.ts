import type { Hash } from './hash.js';

const hashRange = 2 ** 32;

/**
 * Sorts nodes by rendezvous weight for a key, highest first; every process gets the same order. A
 * node comes first for a share of the keys in proportion to what `readWeight` returns for it.
 */
export function sortByRendezvous<T extends string>(
  hash: Hash,
  key: string,
  nodes: readonly T[],
  readWeight?: (node: T) => number,
): T[] {
  const computeRank = (node: T): number => {
    const draw = hash(`${node}\n${key}`);
    return readWeight ? Math.log((draw + 0.5) / hashRange) / readWeight(node) : draw;
  };
  return nodes
    .map((node) => ({ node, rank: computeRank(node) }))
    .sort((a, b) => b.rank - a.rank || (a.node < b.node ? -1 : 1))
    .map(({ node }) => node);
}
