import type { SharedCommand } from './shared-command.js';
import type { SharedState } from './shared-state.js';

/**
 * Applies a command. The highest version wins: a configuration that is not newer is accepted
 * without effect, so that an operator can safely resend it after a lost reply.
 */
export function applySharedCommand(
  state: SharedState,
  command: SharedCommand,
  index: number,
): SharedState {
  if (command.type === 'putConfig') {
    if (command.version <= state.version) return state;
    return { ...state, index, version: command.version, source: command.source };
  }
  const remaining = state.dataCentresOut.filter((id) => id !== command.dataCentre);
  const isTakeOut = command.type === 'takeOutDataCentre';
  if (isTakeOut === remaining.length < state.dataCentresOut.length) return state;
  return {
    ...state,
    index,
    dataCentresOut: isTakeOut ? [...remaining, command.dataCentre] : remaining,
  };
}
