import type { CommandResult, ConfigChange, DaemonState } from '@vanillarelay/core';

/** The state built from the replicated log. */
export interface FleetState {
  /** What every daemon follows. */
  daemon: DaemonState;
  /** Accepted configurations, oldest first. */
  history: ConfigChange[];
  /** Answers to operators' changes by change id, for resends. */
  changes: Map<string, CommandResult>;
}
