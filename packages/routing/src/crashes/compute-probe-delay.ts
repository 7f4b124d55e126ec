/** Delay of the first probe after the crash that blocked a suspect. */
const minDelayMs = 1_000;
/** Factor by which each further crash lengthens the delay: a probe can cost another endpoint. */
const delayFactor = 4;
const maxDelayMs = 256_000;
/** Additional delay per rank of a router, as a share of the delay, so that routers take turns. */
const rankShare = 0.5;

/**
 * Time after its last crash at which a router may send one request with a blocked suspect, to find
 * out whether it is harmless.
 */
export function computeProbeDelay(furtherCrashes: number, rank: number): number {
  const delayMs = Math.min(maxDelayMs, minDelayMs * delayFactor ** furtherCrashes);
  return delayMs * (1 + rank * rankShare);
}
