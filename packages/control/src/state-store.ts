import type { Command, CommandResult } from '@vanillarelay/core';
import type { FleetState } from './state/fleet-state.js';

/** The replicated state, as used by the hub and the operators' handlers. */
export interface StateStore {
  /** Resolves once a quorum has synced the command and it was applied here. */
  propose(command: Command): Promise<CommandResult>;
  readState(): FleetState;
  /** Milliseconds since the state was last known to hold everything that was committed. */
  readStateAgeMs(): number;
  /** Calls the listener after each applied command; returns a function that removes it. */
  observe(listener: (state: FleetState) => void): () => void;
}
