import type { ServiceId } from '@vanillarelay/core';

/** A command of an operator that moves the traffic of a service to a version. */
export interface StartRollout {
  type: 'startRollout';
  service: ServiceId;
  to: string;
  /** Time from the order to its deadline, in milliseconds. */
  durationMs: number;
  /** Wall clock of the proposing daemon, in milliseconds since the epoch. */
  startedAt: number;
  /**
   * Index of a state that the proposing daemon knew while the operator still waited. A later change
   * of the service's roll-out makes this command outdated.
   */
  base?: number;
}
