/** What a request is expected to cost at one endpoint; times are those of an endpoint of usual speed. */
export interface WorkEstimate {
  /** Prompt tokens that the endpoint has to read, because it probably does not hold them. */
  readTokens: number;
  /** Probability that the endpoint holds the shared parts of the prompt. */
  heldShare: number;
  readMs: number;
  /** Time to the first event without reading and waiting. */
  baseMs: number;
  /** Tokens of the answer. */
  writeTokens: number;
  /** Mean difference of expected and seen times, as a share; high until enough was observed. */
  uncertainty: number;
}
