const smoothingFactor = 0.2;
/** Used until the engine's speed has been measured. */
const defaultMsPerToken = 0.2;
/** Answers with fewer computed tokens are ignored: they do not show the engine's speed. */
const minComputedTokens = 64;

/** Creates the estimate of the time that the engine takes to compute prompt tokens. */
export function createRecomputeEstimate() {
  let msPerToken = defaultMsPerToken;
  return {
    /** Records the time to the first byte of an answer with `tokens` computed prompt tokens. */
    record: (firstByteMs: number, tokens: number): void => {
      if (tokens < minComputedTokens) return;
      msPerToken += smoothingFactor * (firstByteMs / tokens - msPerToken);
    },
    estimateMs: (tokens: number): number => tokens * msPerToken,
  };
}
