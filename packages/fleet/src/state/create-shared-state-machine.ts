import type { StateMachine } from '@vanillarelay/control';
import { RelayError, type CommandResult } from '@vanillarelay/core';
import { createContent } from '../content/create-content.js';
import { applySharedCommand } from './apply-shared-command.js';
import { emptySharedState } from './empty-shared-state.js';
import type { LogCommand } from './log-command.js';
import type { SharedState } from './shared-state.js';

/** Creates the state machine that the replicated log applies commands to. */
export function createSharedStateMachine(notify: () => void): StateMachine & {
  readState(): SharedState;
} {
  let state = emptySharedState;

  const apply = (command: LogCommand, index: number): CommandResult => {
    try {
      const next = applySharedCommand(state, command, index);
      const isChanged = next !== state;
      state = next;
      if (isChanged) notify();
      return { ok: true, index };
    } catch (error) {
      if (!(error instanceof RelayError)) throw error;
      return { ok: false, code: error.code, message: error.message };
    }
  };

  return {
    apply: ({ kind, data, index }) =>
      kind === 'command' ? apply(JSON.parse(data) as LogCommand, index) : { ok: true, index },
    encode: () => [JSON.stringify(state)],
    install: (parts) => {
      const stored = JSON.parse(parts.join('')) as SharedState;
      // Snapshots of earlier versions have no hash, no indexes of orders and no roll-outs.
      state = { ...emptySharedState, ...stored, ...createContent(stored.source) };
      notify();
    },
    readState: () => state,
  };
}
