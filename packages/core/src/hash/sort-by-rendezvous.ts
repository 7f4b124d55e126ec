import type { Hash } from './hash.js';

/** Sorts nodes by rendezvous weight for a key, highest first; every process gets the same order. */
export function sortByRendezvous<T extends string>(
  hash: Hash,
  key: string,
  nodes: readonly T[],
): T[] {
  return nodes
    .map((node) => ({ node, weight: hash(`${node}\n${key}`) }))
    .sort((a, b) => b.weight - a.weight || (a.node < b.node ? -1 : 1))
    .map(({ node }) => node);
}
