interface ContentProbeTurn {
  /** Time since the last crash or probe. */
  elapsedMs: number;
  /** Number of probes since the content is suspected, at all routers. */
  probeCount: number;
  /** Position of this router in the order in which the routers take turns. */
  rank: number;
  routerCount: number;
}

/**
 * Times since the last crash from which the first, the second and so on probe may be sent. There is
 * no further one: a content that crashed endpoints in each of its runs is not tried for ever.
 */
const delaysMs = [4_000, 60_000];
/** Time for which it is one router's turn, twice that in which the others learn of its probe. */
const turnMs = 4_000;

/**
 * Whether a router may send a request with a blocked content, to find out whether it is harmless. One
 * router at a time has its turn, and sends nothing in the second half of it, so that the next one
 * knows of the probe.
 */
export function isContentProbeDue(turn: ContentProbeTurn): boolean {
  const delayMs = delaysMs[turn.probeCount];
  const sinceDueMs = delayMs === undefined ? -1 : turn.elapsedMs - delayMs;
  if (sinceDueMs < 0 || sinceDueMs % turnMs >= turnMs / 2) return false;
  return turn.rank === Math.floor(sinceDueMs / turnMs) % turn.routerCount;
}
