import type { SharedCommand } from './shared-command.js';
import type { SharedState } from './shared-state.js';

/**
 * Applies a command. The highest version wins: a configuration that is not newer is accepted and
 * changes nothing, so that an operator may send it again after a lost answer.
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
  const others = state.dataCentresOut.filter((id) => id !== command.dataCentre);
  const isOut = command.type === 'takeOutDataCentre';
  if (isOut === others.length < state.dataCentresOut.length) return state;
  return {
    ...state,
    index,
    dataCentresOut: isOut ? [...others, command.dataCentre] : others,
  };
}
