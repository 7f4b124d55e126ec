import { sortByRendezvous, type DaemonId, type Hash } from '@vanillarelay/core';

/** Part of the slack that is used, because routers may know different numbers of routers. */
const usableShare = 0.9;

interface SlackOptions {
  exposeSlack: number;
  hash: Hash;
  self: DaemonId;
  routers: readonly DaemonId[];
  /** Largest number of routers that this one has known; the list may be incomplete now. */
  routerCount: number;
  startIndex: number;
}

/**
 * Computes a router's part of the slack in whole requests; those that remain after equal parts go to
 * the first routers of a rendezvous order, so that a small slack is not lost among many routers.
 */
export function computeSlackPart(options: SlackOptions): number {
  const { hash, self, routers, startIndex } = options;
  const usable = Math.floor(options.exposeSlack * usableShare);
  const count = Math.max(1, options.routerCount, routers.length);
  const part = Math.floor(usable / count);
  if (routers.length < count) return part;
  const rank = sortByRendezvous(hash, `slack ${startIndex}`, routers).indexOf(self);
  return rank >= 0 && rank < usable % count ? part + 1 : part;
}
