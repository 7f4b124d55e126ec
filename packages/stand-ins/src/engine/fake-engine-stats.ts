/** Counters of a fake engine, which crashes do not reset, and its current state. */
export interface FakeEngineStats {
  started: number;
  completed: number;
  cancelled: number;
  /** Requests refused because the engine was cold and at its limit. */
  coldFailures: number;
  crashes: number;
  promptTokens: number;
  cachedTokens: number;
  /** Requests that run or wait now, without the lag of the load report. */
  running: number;
  highestRunning: number;
  /** Target of the last `loadModel` order; empty before the first. */
  model: string;
  /** Target of the last `changeRole` order; empty before the first. */
  role: string;
}
