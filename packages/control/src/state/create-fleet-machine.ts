import { ResultCode, type Command, type CommandResult } from '@vanillarelay/core';
import type { LogEntry } from '../log/log-entry.js';
import type { StateMachine } from '../raft/state-machine.js';
import { applyCommand } from './apply-command.js';
import { buildRefusal } from './build-refusal.js';
import { createFleetState } from './create-fleet-state.js';
import { decodeState } from './decode-state.js';
import { encodeState } from './encode-state.js';
import type { FleetState } from './fleet-state.js';

/** Creates the state machine that applies the log of the control group. */
export function createFleetMachine(): StateMachine & {
  readState(): FleetState;
  observe(listener: (state: FleetState) => void): () => void;
} {
  const listeners = new Set<(state: FleetState) => void>();
  let state = createFleetState();
  const notify = () => listeners.forEach((listener) => listener(state));
  return {
    apply({ kind, data, index, at }: LogEntry): CommandResult {
      if (kind !== 'command') return { ok: true, index };
      try {
        return applyCommand(state, JSON.parse(data) as Command, index, at);
      } catch (error) {
        // Every node throws the same error; stopping here would stop the whole group at this entry.
        return buildRefusal(ResultCode.internal, (error as Error).message);
      } finally {
        notify();
      }
    },
    encode: () => encodeState(state),
    install: (parts) => {
      state = decodeState(parts);
      notify();
    },
    readState: () => state,
    observe: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
