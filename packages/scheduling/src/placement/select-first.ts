import type { EndpointId, Hash } from '@vanillarelay/core';
import type { Candidate } from '@vanillarelay/routing';

interface Selection {
  /** The first of all endpoints in the order. */
  home: EndpointId | undefined;
  /** The first endpoints in the order that accept the prompt. */
  first: Candidate[];
}

interface SelectionOptions {
  hash: Hash;
  readWeight: (id: EndpointId) => number;
  isAccepting: (candidate: Candidate) => boolean;
  count: number;
}

const hashRange = 2 ** 32;

/**
 * Selects the first endpoints in the weighted rendezvous order of a key, without sorting all. With
 * equal weights the order is that of unweighted rendezvous hashing.
 */
export function selectFirst(
  candidates: readonly Candidate[],
  key: string,
  { hash, readWeight, isAccepting, count }: SelectionOptions,
): Selection {
  let home: EndpointId | undefined;
  let homeRank = Infinity;
  const first: Candidate[] = [];
  const ranks: number[] = [];
  candidates.forEach((candidate) => {
    const { id } = candidate;
    const draw = (hash(`${id}\n${key}`) + 0.5) / hashRange;
    const rank = -Math.log(draw) / readWeight(id);
    if (rank < homeRank || (rank === homeRank && home !== undefined && id < home)) {
      home = id;
      homeRank = rank;
    }
    if (ranks.length === count && rank > (ranks[count - 1] ?? 0)) return;
    if (!isAccepting(candidate)) return;
    const later = ranks.findIndex(
      (other, index) => rank < other || (rank === other && id < (first[index]?.id ?? '')),
    );
    const position = later < 0 ? ranks.length : later;
    ranks.splice(position, 0, rank);
    first.splice(position, 0, candidate);
    ranks.length = Math.min(count, ranks.length);
    first.length = ranks.length;
  });
  return { home, first };
}
