import type { StateMachine } from '@vanillarelay/control';
import { applySharedCommand } from './apply-shared-command.js';
import { emptySharedState } from './empty-shared-state.js';
import type { SharedCommand } from './shared-command.js';
import type { SharedState } from './shared-state.js';

/** Creates the state machine that the replicated log applies commands to. */
export function createSharedStateMachine(notify: () => void): StateMachine & {
  readState(): SharedState;
} {
  let state = emptySharedState;
  return {
    apply: ({ kind, data, index }) => {
      if (kind !== 'command') return { ok: true, index };
      const next = applySharedCommand(state, JSON.parse(data) as SharedCommand, index);
      const isChanged = next !== state;
      state = next;
      if (isChanged) notify();
      return { ok: true, index };
    },
    encode: () => [JSON.stringify(state)],
    install: (parts) => {
      state = JSON.parse(parts.join('')) as SharedState;
      notify();
    },
    readState: () => state,
  };
}
