/** A roll-out of a version of a service, as the replicated log holds it. */
export interface Rollout {
  /** Version that the traffic moves to. */
  to: string;
  durationMs: number;
  state: 'inProgress' | 'completed' | 'rolledBack';
  /** Index of the log entry that started it, which identifies it. */
  startIndex: number;
  /** Index of the log entry that changed it last. */
  lastIndex: number;
  /** Wall clock of the proposer; only a lower bound of the age after a restart. */
  startedAt: number;
}
