import type { StateStore } from './state-store.js';
import { applyCommand } from './state/apply-command.js';
import { createFleetState } from './state/create-fleet-state.js';
import type { FleetState } from './state/fleet-state.js';

/** Makes a store of one node without a disk. */
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
    readQuorumAgeMs: () => 0,
    observe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
