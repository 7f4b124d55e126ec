/** Answers that the estimate counts in addition, so that a few answers are no certainty. */
const priorAnswers = 20;
/** Share of bad answers that is expected of a sound service before any answer. */
const defaultShare = 0.02;
/** One-sided normal quantile of 0.95: the true share is rarely above the bound. */
const boundDeviations = 1.64;

/**
 * Computes an upper bound of a side's share of bad answers: the mean of the Beta distribution after
 * these answers, plus a multiple of its deviation. Few answers give a high bound, which delays a
 * verdict against the other side and never hastens it.
 */
export function computeBadShare(
  { answers, bad }: { answers: number; bad: number },
  prior = defaultShare,
): number {
  const total = answers + priorAnswers;
  const mean = (bad + prior * priorAnswers) / total;
  return mean + boundDeviations * Math.sqrt((mean * (1 - mean)) / (total + 1));
}
