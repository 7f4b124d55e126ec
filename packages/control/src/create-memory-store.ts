import type { StateStore } from './state-store.js';
import { applyCommand } from './state/apply-command.js';
import { createFleetState } from './state/create-fleet-state.js';
import type { FleetState } from './state/fleet-state.js';

/** Creates a store for a single node that keeps its state in memory only. */
export function createMemoryStore(): StateStore {
  const state = createFleetState();
  const listeners = new Set<(state: FleetState) => void>();
  let index = 0;
  return {
    async propose(command) {
      index += 1;
      const result = applyCommand(state, command, index);
      listeners.forEach((listener) => listener(state));
      return result;
    },
    readState: () => state,
    readStateAgeMs: () => 0,
    observe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
