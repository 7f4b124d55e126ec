/** Amount by which the share of a sound version may be above that of the old side. */
const soundMargin = 0.02;
/** Amount by which the share of a bad version is above that of a sound one, at least. */
const badMargin = 0.13;
/** Highest share that is tested; an old side that is worse gives no evidence in either direction. */
const maxBadShare = 0.98;

/**
 * Computes the logarithm of the likelihood ratio of Wald's sequential test: positive when the answers
 * are more likely from a bad version than from one as good as the old side.
 */
export function computeEvidence(good: number, bad: number, oldShare: number): number {
  const sound = Math.min(maxBadShare, oldShare + soundMargin);
  const unsound = Math.min(maxBadShare, sound + badMargin);
  return bad * Math.log(unsound / sound) + good * Math.log((1 - unsound) / (1 - sound));
}
