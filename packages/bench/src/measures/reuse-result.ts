/** Result of one run of the reuse and skew measurement. */
export interface ReuseResult {
  policy: string;
  engines: number;
  /** Bound on an engine's load as a multiple of the mean. */
  multiple: number;
  /** Requests with a complete answer, refusals included. */
  requests: number;
  /** Answers with a status other than 200 or without token usage. */
  refused: number;
  /** Refused requests by result code, or by HTTP status if the answer has no code. */
  codes: Record<string, number>;
  /** Requests that failed before their answer was complete; engine crashes cause some. */
  broken: number;
  /** Fraction of prompt tokens that the engines found in their prefix caches, from 0 to 1. */
  reuse: number;
  meanLoad: number;
  /** Highest load divided by the mean load, averaged; a sample without load counts as 0. */
  skewMean: number;
  /** Highest value of that ratio in any sample. */
  skewWorst: number;
  /** Most requests by which an engine exceeded the load bound (rounded up) in any sample. */
  worstExcess: number;
  /** The same at the start of a request, with that request included in the mean. */
  startExcess: number;
  /** Time to the first byte, in milliseconds. */
  firstByteP50: number;
  firstByteP95: number;
  firstByteP99: number;
}
