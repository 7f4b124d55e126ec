/** The roll-out of a version of one service, as the replicated state holds it. */
export interface Rollout {
  /** The version that the traffic of the service moves to. */
  to: string;
  /** Time from the order to its deadline, in milliseconds. */
  durationMs: number;
  state: 'inProgress' | 'completed' | 'rolledBack';
  /** Log index of the command that started it, which identifies it. */
  startIndex: number;
  /** Log index of its last change: the start, or the end. */
  lastIndex: number;
  /**
   * Wall clock of the proposer at the order, in milliseconds since the epoch. The age is estimated from
   * it while no daemon has counted the time since the start; the estimate may be wrong by seconds.
   */
  startedAt: number;
}
