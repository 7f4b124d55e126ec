const smoothingFactor = 0.2;
/** Used until the engine's speed has been measured. */
const defaultMsPerToken = 0.2;
/** Answers with fewer computed tokens say too little about the engine's speed. */
const minTokens = 64;

/** Makes the estimate of how long the engine takes to compute prompt tokens. */
export function createRecomputeEstimate() {
  let msPerToken = defaultMsPerToken;
  return {
    /** Records the time to the first byte of an answer with `tokens` computed prompt tokens. */
    record: (firstByteMs: number, tokens: number): void => {
      if (tokens < minTokens) return;
      msPerToken += smoothingFactor * (firstByteMs / tokens - msPerToken);
    },
    estimateMs: (tokens: number): number => tokens * msPerToken,
  };
}
