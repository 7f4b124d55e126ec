import { ResultCode, type Command, type CommandResult } from '@vanillarelay/core';
import type { FleetState } from './fleet-state.js';

/** Changes the state by a committed command; the same on every node. */
export function applyCommand(state: FleetState, command: Command, index: number): CommandResult {
  if (command.type === 'batch') {
    const value = command.commands.map((item) => applyCommand(state, item, index));
    return { ok: true, index, value };
  }
  if (!('changeId' in command)) {
    return {
      ok: false,
      code: ResultCode.unknownTarget,
      message: `unknown command ${command.type}`,
    };
  }
  const earlier = state.changes.get(command.changeId);
  if (earlier) return earlier;
  const result = applyOperatorCommand(state, command, index);
  state.changes.set(command.changeId, result);
  return result;
}

function applyOperatorCommand(
  state: FleetState,
  command: Extract<Command, { changeId: unknown }>,
  index: number,
): CommandResult {
  const { daemon } = state;
  switch (command.type) {
    case 'applyConfig':
      if (command.expectedVersion !== daemon.configVersion) {
        return {
          ok: false,
          code: ResultCode.versionConflict,
          message: `expected version ${command.expectedVersion}, current version is ${daemon.configVersion}`,
        };
      }
      daemon.config = command.config;
      daemon.configVersion += 1;
      state.history.push({
        version: daemon.configVersion,
        changeId: command.changeId,
        operator: command.operator,
        config: command.config,
      });
      break;
    case 'takeOutDataCentre':
      daemon.dataCentresOut = [...new Set([...daemon.dataCentresOut, command.dataCentre])];
      break;
    case 'bringBackDataCentre':
      daemon.dataCentresOut = daemon.dataCentresOut.filter((id) => id !== command.dataCentre);
      break;
    default:
      return {
        ok: false,
        code: ResultCode.unknownTarget,
        message: `unknown command ${command.type}`,
      };
  }
  daemon.version = index;
  return { ok: true, index, value: { configVersion: daemon.configVersion } };
}
