/** Delays at a router from which it is late, in milliseconds. */
export interface LatenessLimits {
  /** Delay above which requests are late. */
  lateMs: number;
  /** Delay below which a router that was late is in time. */
  inTimeMs: number;
  /** Delay above which the lateness is severe, so that the router may be out for longer. */
  severeMs: number;
}
