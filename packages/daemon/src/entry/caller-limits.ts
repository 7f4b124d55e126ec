/** Default limits on the requests of callers. */
export const callerLimits = {
  bodyBytes: 16 * 1024 * 1024,
  headerBytes: 16 * 1024,
  /** Time in which the headers must arrive, in milliseconds. */
  headersMs: 10_000,
  /** Time in which the whole request must arrive, in milliseconds. */
  requestMs: 60_000,
  /** Interval at which connections beyond these times are closed, in milliseconds. */
  checkIntervalMs: 1_000,
};
