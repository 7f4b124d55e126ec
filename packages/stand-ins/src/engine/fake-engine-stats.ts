/** What a fake engine counted since it was made; crashes do not reset it. */
export interface FakeEngineStats {
  started: number;
  completed: number;
  cancelled: number;
  /** Requests that failed because the engine was cold and full. */
  coldFailures: number;
  crashes: number;
  promptTokens: number;
  cachedTokens: number;
  /** Requests that run or wait now, without lag. */
  running: number;
  highestRunning: number;
  model: string;
  role: string;
}
