const weight = 0.2;
/** Until an answer has shown the engine's pace. */
const defaultMsPerToken = 0.2;
/** A chunk of the prompt too short to show the pace. */
const leastTokens = 64;

/** Makes the estimate of how long the engine takes to compute prompt tokens. */
export function createRecomputeEstimate() {
  let msPerToken = defaultMsPerToken;
  return {
    /** Takes in the time to the first byte of an answer with `tokens` computed prompt tokens. */
    record: (firstByteMs: number, tokens: number): void => {
      if (tokens < leastTokens) return;
      msPerToken += weight * (firstByteMs / tokens - msPerToken);
    },
    estimate: (tokens: number): number => tokens * msPerToken,
  };
}
