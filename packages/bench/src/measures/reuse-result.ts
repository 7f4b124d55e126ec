/** Result of one run of the reuse and skew measurement. */
export interface ReuseResult {
  policy: string;
  engines: number;
  multiple: number;
  requests: number;
  refused: number;
  /** Refusals by result code. */
  codes: Record<string, number>;
  /** Requests whose answer was cut off, as is expected when their engine restarts. */
  broken: number;
  /** Share of prompt tokens found in cache. */
  reuse: number;
  meanLoad: number;
  /** Highest load divided by the mean load: averaged over the samples, and in the worst one. */
  skewMean: number;
  skewWorst: number;
  /** Most requests above the load bound, which is rounded up, in any sample. */
  worstExcess: number;
  /** Most requests above the load bound when one started, computed from the actual mean. */
  startExcess: number;
  /** Time to the first byte, in milliseconds. */
  firstByteP50: number;
  firstByteP95: number;
  firstByteP99: number;
}
