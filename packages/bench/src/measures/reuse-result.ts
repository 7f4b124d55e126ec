/** What one run of the reuse and skew measure gave. */
export interface ReuseResult {
  policy: string;
  engines: number;
  multiple: number;
  requests: number;
  refused: number;
  /** Refusals by result code. */
  codes: Record<string, number>;
  /** Answers that broke off, as they must when their engine restarts. */
  broken: number;
  /** Share of prompt tokens found in cache. */
  reuse: number;
  meanLoad: number;
  /** Highest load over the mean, averaged over the samples, and at its worst moment. */
  skewMean: number;
  skewWorst: number;
  /** Most requests above the bound, rounded up, at any sample. */
  worstExcess: number;
  /** Most requests above the bound at the moment at which one began, by the true mean. */
  startExcess: number;
  /** Time to the first byte, in milliseconds. */
  firstByteP50: number;
  firstByteP95: number;
  firstByteP99: number;
}
