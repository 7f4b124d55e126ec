/** Counters of a fake engine since its creation; crashes do not reset them. */
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
  model: string;
  role: string;
}
