interface ProbeTurn {
  /** Time since the last crash or probe. */
  elapsedMs: number;
  /** Number of crashes beyond those that blocked the suspect. */
  furtherCrashes: number;
  /** Position of this router in the order in which the routers take turns. */
  rank: number;
  routerCount: number;
}

/** Delay of the first probe after the crash that blocked a suspect. */
const minDelayMs = 1_000;
/** Factor by which each further crash lengthens the delay: a probe can cost another endpoint. */
const delayFactor = 4;
const maxDelayMs = 256_000;
/** Duration of a router's turn, as a share of the delay. */
const turnShare = 0.5;

/**
 * Whether a router may send a request with a blocked suspect, to find out whether it is harmless.
 * After the first delay the routers join one by one, so that a wrong verdict is found soon. After a
 * further crash only the router whose turn it is may send one.
 */
export function isProbeDue({ elapsedMs, furtherCrashes, rank, routerCount }: ProbeTurn): boolean {
  const delayMs = Math.min(maxDelayMs, minDelayMs * delayFactor ** furtherCrashes);
  if (elapsedMs < delayMs) return false;
  const turn = Math.floor((elapsedMs - delayMs) / (delayMs * turnShare));
  return furtherCrashes === 0 ? rank <= turn : rank === turn % routerCount;
}
