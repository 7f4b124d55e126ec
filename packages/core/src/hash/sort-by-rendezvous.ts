import type { Hash } from './hash.js';

/** Nodes in the rendezvous order of a key: highest weight first, the same in every process. */
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
